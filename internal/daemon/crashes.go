package daemon

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/crashes"
	"github.com/carobstile/carobstile/internal/gate"
	"github.com/carobstile/carobstile/internal/member"
	"github.com/carobstile/carobstile/internal/membercore"
	"github.com/carobstile/carobstile/internal/platform"
)

const (
	verdictRetryInterval = 5 * time.Second
	verdictTimeout       = 60 * time.Second
)

// verdict is the stored form of a fingerprint that reached the crash limit. Its object is named by the fingerprint in
// hex.
type verdict struct {
	MadeMicros core.Micros `json:"madeMicros"`
}

// crashRecorder keeps the crash records known to this daemon, disseminates the records of its own requests and stores
// verdicts.
type crashRecorder struct {
	set           *crashes.Set
	members       *member.Membership
	store         platform.Store
	currentConfig func() *config.Index
	log           *slog.Logger
}

func now() core.Micros { return core.FromTime(time.Now()) }

// Count implements gate.Crashes.
func (c *crashRecorder) Count(f gate.Fingerprint) int {
	at, fingerprint := now(), crashes.Fingerprint(f[:])
	count := c.set.Count(at, fingerprint)
	if c.set.Refused(at, fingerprint) {
		return max(count, c.limit())
	}
	return count
}

func (c *crashRecorder) limit() int {
	if index := c.currentConfig(); index != nil {
		return index.Limits.CrashLimit
	}
	return config.Limits{}.WithDefaults().CrashLimit
}

// Report implements gate.Crashes.
func (c *crashRecorder) Report(f gate.Fingerprint, engine, incarnation string) {
	record := crashes.Record{Fingerprint: crashes.Fingerprint(f[:]), Incarnation: incarnation, CreatedAt: now()}
	change := c.set.Add(record.CreatedAt, record)
	for _, r := range change.New {
		c.log.Warn("request crashed an engine", "fingerprint", hex.EncodeToString(f[:]), "engine", engine,
			"incarnation", incarnation)
		c.disseminate(r)
	}
	for _, blocked := range change.ReachedLimit {
		c.log.Warn("request refused from now on", "fingerprint", hex.EncodeToString([]byte(blocked)))
		go c.storeVerdict(blocked, record.CreatedAt)
	}
}

// disseminate sends a new record to the other daemons. If the request is at most one crash short of the limit, it sends
// all records of the request, urgently.
func (c *crashRecorder) disseminate(r crashes.Record) {
	own := membercore.CrashRecord{Fingerprint: []byte(r.Fingerprint), EngineIncarnation: r.Incarnation, CreatedAt: r.CreatedAt}
	if c.set.Count(r.CreatedAt, r.Fingerprint) < c.limit()-1 {
		c.members.AddRecords([]membercore.CrashRecord{own}, false)
		return
	}
	var all []membercore.CrashRecord
	for _, other := range c.set.Records(r.CreatedAt) {
		if other.Fingerprint == r.Fingerprint {
			all = append(all, membercore.CrashRecord{Fingerprint: []byte(other.Fingerprint), EngineIncarnation: other.Incarnation, CreatedAt: other.CreatedAt})
		}
	}
	c.members.AddRecords(all, true)
}

// addRemote adds records received from other daemons.
func (c *crashRecorder) addRemote(records []membercore.CrashRecord) {
	for _, r := range records {
		c.set.Add(now(), crashes.Record{Fingerprint: crashes.Fingerprint(r.Fingerprint), Incarnation: r.EngineIncarnation, CreatedAt: r.CreatedAt})
	}
}

// storeVerdict stores a verdict for daemons that start later. Storing it twice is harmless.
func (c *crashRecorder) storeVerdict(f crashes.Fingerprint, made core.Micros) {
	value, err := json.Marshal(verdict{MadeMicros: made})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
	defer cancel()
	c.retry(ctx, "store verdict", func() error {
		_, err := c.store.Put(ctx, platform.KindVerdict, hex.EncodeToString([]byte(f)), value)
		return err
	})
}

// load reads the stored verdicts once, retrying until it succeeds or ctx ends.
func (c *crashRecorder) load(ctx context.Context) {
	c.retry(ctx, "list verdicts", func() error {
		objects, err := c.store.List(ctx, platform.KindVerdict, "")
		for _, object := range objects {
			c.addStored(object)
		}
		return err
	})
}

func (c *crashRecorder) addStored(object platform.Object) {
	fingerprint, err := hex.DecodeString(object.Name)
	if err != nil {
		return
	}
	var v verdict
	if err := json.Unmarshal(object.Value, &v); err != nil {
		c.log.Warn("stored verdict is invalid", "object", platform.KindVerdict+"/"+object.Name, "err", err)
		return
	}
	c.set.AddVerdict(now(), crashes.Fingerprint(fingerprint), v.MadeMicros)
}

func (c *crashRecorder) retry(ctx context.Context, operation string, f func() error) {
	for {
		err := f()
		if err == nil {
			return
		}
		c.log.Debug("platform call failed", "call", operation, "err", err)
		select {
		case <-time.After(verdictRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}
