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
	verdictRetry   = 5 * time.Second
	verdictTimeout = 60 * time.Second
)

// verdict is the stored form of a fingerprint that reached the crash limit.
type verdict struct {
	MadeMicros core.Micros `json:"madeMicros"`
}

// crashRecorder keeps the crash records of this daemon, disseminates its own and stores verdicts.
type crashRecorder struct {
	set     *crashes.Set
	members *member.Members
	store   platform.Store
	current func() *config.Index
	log     *slog.Logger
}

func now() core.Micros { return core.At(time.Now()) }

// Count implements gate.Crashes.
func (b *crashRecorder) Count(f gate.Fingerprint) int {
	at, fingerprint := now(), crashes.Fingerprint(f[:])
	count := b.set.Count(at, fingerprint)
	if b.set.Refused(at, fingerprint) {
		return max(count, b.limit())
	}
	return count
}

func (b *crashRecorder) limit() int {
	if index := b.current(); index != nil {
		return index.Limits.CrashLimit
	}
	return config.Limits{}.WithDefaults().CrashLimit
}

// Report implements gate.Crashes.
func (b *crashRecorder) Report(f gate.Fingerprint, engine, incarnation string) {
	record := crashes.Record{Fingerprint: crashes.Fingerprint(f[:]), Incarnation: incarnation, Made: now()}
	change := b.set.Add(record.Made, record)
	for _, r := range change.New {
		b.log.Warn("request crashed an engine", "fingerprint", hex.EncodeToString(f[:]), "engine", engine,
			"incarnation", incarnation)
		b.disseminate(r)
	}
	for _, reached := range change.Reached {
		b.log.Warn("request refused from now on", "fingerprint", hex.EncodeToString([]byte(reached)))
		go b.storeVerdict(reached, record.Made)
	}
}

// disseminate tells the other daemons of a new record, and of all records of its request if that is at most one crash short
// of the limit.
func (b *crashRecorder) disseminate(r crashes.Record) {
	own := membercore.Record{Fingerprint: []byte(r.Fingerprint), Engine: r.Incarnation, Made: r.Made}
	if b.set.Count(r.Made, r.Fingerprint) < b.limit()-1 {
		b.members.AddRecords([]membercore.Record{own}, false)
		return
	}
	var all []membercore.Record
	for _, other := range b.set.Records(r.Made) {
		if other.Fingerprint == r.Fingerprint {
			all = append(all, membercore.Record{Fingerprint: []byte(other.Fingerprint), Engine: other.Incarnation, Made: other.Made})
		}
	}
	b.members.AddRecords(all, true)
}

// learned takes in records of other daemons.
func (b *crashRecorder) learned(records []membercore.Record) {
	for _, r := range records {
		b.set.Add(now(), crashes.Record{Fingerprint: crashes.Fingerprint(r.Fingerprint), Incarnation: r.Engine, Made: r.Made})
	}
}

// storeVerdict writes a verdict, so that daemons that start later know it. Writing it twice does no harm.
func (b *crashRecorder) storeVerdict(f crashes.Fingerprint, made core.Micros) {
	value, err := json.Marshal(verdict{MadeMicros: made})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
	defer cancel()
	b.retry(ctx, "store verdict", func() error {
		_, err := b.store.Put(ctx, platform.KindVerdict, hex.EncodeToString([]byte(f)), value)
		return err
	})
}

// load reads the stored verdicts once.
func (b *crashRecorder) load(ctx context.Context) {
	b.retry(ctx, "list verdicts", func() error {
		objects, err := b.store.List(ctx, platform.KindVerdict, "")
		for _, object := range objects {
			b.addStored(object)
		}
		return err
	})
}

func (b *crashRecorder) addStored(object platform.Object) {
	fingerprint, err := hex.DecodeString(object.Name)
	if err != nil {
		return
	}
	var v verdict
	if err := json.Unmarshal(object.Value, &v); err != nil {
		b.log.Warn("verdict is not readable", "object", platform.KindVerdict+"/"+object.Name, "err", err)
		return
	}
	b.set.AddVerdict(crashes.Fingerprint(fingerprint), v.MadeMicros)
}

func (b *crashRecorder) retry(ctx context.Context, what string, f func() error) {
	for {
		err := f()
		if err == nil {
			return
		}
		b.log.Debug("platform call failed", "call", what, "err", err)
		select {
		case <-time.After(verdictRetry):
		case <-ctx.Done():
			return
		}
	}
}
