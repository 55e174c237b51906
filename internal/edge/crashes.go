package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/forward"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/quarantine"
	"github.com/carobstile/carobstile/internal/rendezvous"
	"github.com/carobstile/carobstile/internal/shell"
)

const (
	// verdictSaveInterval is how often the verdicts in the store are compared with those in force.
	verdictSaveInterval = 500 * time.Millisecond
	// verdictLoadTimeout bounds a read of the verdicts in the store, and verdictLoadRetry is the pause after a failed one.
	verdictLoadTimeout = 400 * time.Millisecond
	verdictLoadRetry   = time.Second
	// verdictWriters is the number of daemons that write a verdict to the store. There are two in case one of them dies.
	verdictWriters = 2
	// maxSummaryTraits bounds the traits of the verdicts in a summary, maxFetchTraits those of the verdicts or suspects in the
	// answer to a fetch. Verdicts are also sent when they are reached, and kept in the store.
	maxSummaryTraits = 2048
	maxFetchTraits   = 1 << 15
)

// crashTracker runs a quarantine.Core for each stage: it serializes the events and performs their effects. It is safe for
// concurrent use.
type crashTracker struct {
	now       func() core.Micros
	log       *slog.Logger
	broadcast func(add func(p *carobstilev1.EdgePacket))
	// onVerdict is called after a verdict has come into force.
	onVerdict func()

	mu    sync.Mutex
	cores [stageCount]*quarantine.Core // by stage
}

const stageCount = int(quarantine.WithinAnswer) + 1

var _ forward.CrashTracker = (*crashTracker)(nil)

func newCrashTracker(
	now func() core.Micros, broadcast func(add func(p *carobstilev1.EdgePacket)), log *slog.Logger,
) *crashTracker {
	t := &crashTracker{now: now, log: log, broadcast: broadcast, onVerdict: func() {}}
	for stage := range t.cores {
		t.cores[stage] = quarantine.New(quarantine.Stage(stage))
	}
	return t
}

// Blocked implements forward.CrashTracker.
func (t *crashTracker) Blocked(traits []quarantine.Trait) (verdict quarantine.Verdict, left time.Duration, blocked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.cores {
		if v, d, ok := c.Blocked(t.now(), traits); ok && d.Duration() > left {
			verdict, left, blocked = v, d.Duration(), true
		}
	}
	return verdict, left, blocked
}

// RecordBreak implements forward.CrashTracker.
func (t *crashTracker) RecordBreak(b forward.Break) {
	event := quarantine.ServerBroke{Now: t.now(), Process: b.Server, Helpers: b.Helpers, Traits: b.Traits}
	if !b.Begun {
		t.step(quarantine.BeforeAnswer, event)
	}
	if !t.explained(b.Traits) {
		t.step(quarantine.WithinAnswer, event)
	}
}

// explained reports whether a verdict on crashes before the answer names one of the traits. Further crashes narrow it if
// necessary, so that no verdict on crashes within answers is needed.
func (t *crashTracker) explained(traits []quarantine.Trait) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cores[quarantine.BeforeAnswer].Accuses(t.now(), traits)
}

// RecordAnswer implements forward.CrashTracker.
func (t *crashTracker) RecordAnswer(traits []quarantine.Trait, took core.Micros) {
	t.step(quarantine.BeforeAnswer, quarantine.Answered{Now: t.now(), Traits: traits, Took: took})
}

// RecordCompletion implements forward.CrashTracker.
func (t *crashTracker) RecordCompletion(traits []quarantine.Trait, took core.Micros) {
	t.step(quarantine.WithinAnswer, quarantine.Answered{Now: t.now(), Traits: traits, Took: took})
}

// recordPeer applies what another daemon has observed.
func (t *crashTracker) recordPeer(
	crashes []*carobstilev1.EdgeCrash, sound, completed []uint64, verdicts []*carobstilev1.EdgeVerdict,
) {
	for _, c := range crashes {
		stage, traits := decodeStage(c.GetWithinAnswer()), decodeTraits(c.GetTraits())
		if stage == quarantine.WithinAnswer && t.explained(traits) {
			continue
		}
		t.step(stage, quarantine.PeerSawBreak{
			Now: t.now(), Process: dispatch.Process{ID: c.GetServer(), StartedAt: c.GetStartedAt()}, Helpers: c.GetHelpers(),
			Traits: traits, Age: core.Micros(c.GetAgeMicros()),
		})
	}
	if len(sound) > 0 {
		t.step(quarantine.BeforeAnswer, quarantine.PeerSawAnswer{Now: t.now(), Traits: decodeTraits(sound)})
	}
	if len(completed) > 0 {
		t.step(quarantine.WithinAnswer, quarantine.PeerSawAnswer{Now: t.now(), Traits: decodeTraits(completed)})
	}
	for _, v := range verdicts {
		t.adopt(quarantine.Verdict{
			Stage: decodeStage(v.GetWithinAnswer()), Traits: decodeTraits(v.GetTraits()), Age: core.Micros(v.GetAgeMicros()),
		})
	}
}

func decodeStage(withinAnswer bool) quarantine.Stage {
	if withinAnswer {
		return quarantine.WithinAnswer
	}
	return quarantine.BeforeAnswer
}

// adopt applies a verdict of another daemon or of the store.
func (t *crashTracker) adopt(v quarantine.Verdict) {
	t.step(v.Stage, quarantine.VerdictHeard{Now: t.now(), Verdict: v})
}

// step applies an event to the Core of a stage and performs its effects.
func (t *crashTracker) step(stage quarantine.Stage, ev quarantine.Event) {
	t.mu.Lock()
	effects := t.cores[stage].Step(ev)
	t.mu.Unlock()
	inForce := false
	for _, effect := range effects {
		inForce = t.perform(stage, effect) || inForce
	}
	if inForce {
		t.onVerdict()
	}
}

// perform performs an effect and reports whether a verdict has come into force.
func (t *crashTracker) perform(stage quarantine.Stage, effect quarantine.Effect) bool {
	switch e := effect.(type) {
	case quarantine.AnnounceSuspect:
		t.broadcast(func(p *carobstilev1.EdgePacket) {
			p.Crashes = append(p.Crashes, encodeSuspect(stage, quarantine.Suspect{Process: e.Process, Helpers: e.Helpers, Traits: e.Traits}))
		})
	case quarantine.AnnounceSound:
		t.broadcast(func(p *carobstilev1.EdgePacket) {
			if stage == quarantine.WithinAnswer {
				p.Completed = append(p.Completed, encodeTraits(e.Traits)...)
				return
			}
			p.Sound = append(p.Sound, encodeTraits(e.Traits)...)
		})
	case quarantine.VerdictReached:
		t.log.Warn("requests refused from now on", "traits", formatTraits(e.Verdict.Traits), "stage", stage, "source", "own",
			"crashes", e.Crashes, "suspects", e.Suspects)
		t.broadcast(func(p *carobstilev1.EdgePacket) { p.Verdicts = append(p.Verdicts, encodeVerdict(e.Verdict)) })
		return true
	case quarantine.VerdictAdopted:
		t.log.Warn("requests refused from now on", "traits", formatTraits(e.Verdict.Traits), "stage", stage, "source", "other daemon or store",
			"age_ms", e.Verdict.Age.Duration().Milliseconds())
		return true
	case quarantine.VerdictLifted:
		t.log.Warn("requests no longer refused, one was answered", "traits", formatTraits(e.Verdict.Traits), "stage", stage)
	}
	return false
}

func (t *crashTracker) verdicts() []quarantine.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []quarantine.Verdict
	for _, c := range t.cores {
		out = append(out, c.Verdicts(t.now())...)
	}
	return out
}

// encodeVerdicts returns the newest verdicts in force with up to maxTraits traits together.
func (t *crashTracker) encodeVerdicts(maxTraits int) []*carobstilev1.EdgeVerdict {
	list := t.verdicts()
	slices.SortStableFunc(list, func(a, b quarantine.Verdict) int { return cmp.Compare(a.Age, b.Age) })
	var out []*carobstilev1.EdgeVerdict
	for _, v := range list {
		if maxTraits -= len(v.Traits); maxTraits < 0 {
			break
		}
		out = append(out, encodeVerdict(v))
	}
	return out
}

// encodeSuspects returns the newest suspects of each stage with up to maxFetchTraits traits together.
func (t *crashTracker) encodeSuspects() []*carobstilev1.EdgeCrash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*carobstilev1.EdgeCrash
	for stage, c := range t.cores {
		left := maxFetchTraits
		for _, s := range slices.Backward(c.Suspects(t.now())) {
			if left -= len(s.Traits); left < 0 {
				break
			}
			out = append(out, encodeSuspect(quarantine.Stage(stage), s))
		}
	}
	return out
}

func encodeSuspect(stage quarantine.Stage, s quarantine.Suspect) *carobstilev1.EdgeCrash {
	return &carobstilev1.EdgeCrash{
		Server: s.Process.ID, StartedAt: s.Process.StartedAt, Traits: encodeTraits(s.Traits), AgeMicros: int64(s.Age),
		WithinAnswer: stage == quarantine.WithinAnswer, Helpers: s.Helpers,
	}
}

func encodeVerdict(v quarantine.Verdict) *carobstilev1.EdgeVerdict {
	return &carobstilev1.EdgeVerdict{
		Traits: encodeTraits(v.Traits), AgeMicros: int64(v.Age), WithinAnswer: v.Stage == quarantine.WithinAnswer,
	}
}

func encodeTraits(traits []quarantine.Trait) []uint64 {
	out := make([]uint64, len(traits))
	for i, t := range traits {
		out[i] = uint64(t)
	}
	return out
}

func decodeTraits(values []uint64) []quarantine.Trait {
	out := make([]quarantine.Trait, len(values))
	for i, v := range values {
		out[i] = quarantine.Trait(v)
	}
	return out
}

func formatTraits(traits []quarantine.Trait) string {
	text := ""
	for i, t := range traits {
		if i > 0 {
			text += ","
		}
		text += strconv.FormatUint(uint64(t), 16)
	}
	return text
}

// storedVerdict is a verdict as written to the store.
type storedVerdict struct {
	// Traits are in hexadecimal: not every JSON reader keeps 64 bits of a number.
	Traits []string `json:"traits"`
	// WithinAnswer is set if servers crash within answers, and not only before they begin.
	WithinAnswer bool `json:"withinAnswer,omitempty"`
	// MadeAt is the Unix time in milliseconds at which the verdict was reached or renewed.
	MadeAt int64 `json:"madeAt"`
}

// retryVerdicts reads the verdicts in the store until it has succeeded once. A daemon that cannot reach the store may hear of
// them from its neighbours meanwhile.
func (d *Daemon) retryVerdicts(ctx context.Context) {
	shell.Every(ctx, verdictLoadRetry, func(ctx context.Context) {
		if !d.verdictsLoaded.Load() && (d.probesOutage() || !d.storeFailing()) {
			d.loadVerdicts(ctx)
		}
	})
}

// loadVerdicts reads the verdicts in the store, and sends them to the neighbours, which may have failed to read them.
func (d *Daemon) loadVerdicts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, verdictLoadTimeout)
	defer cancel()
	image, err := d.adapter.Store.List(ctx, KindVerdicts)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		d.log.Info("failed to read verdicts", "err", err)
		return
	}
	d.verdictsLoaded.Store(true)
	for name, o := range image.Objects {
		d.adoptStoredVerdict(name, o.Value)
	}
	if verdicts := d.crashes.encodeVerdicts(maxFetchTraits); len(verdicts) > 0 {
		d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) { p.Verdicts = append(p.Verdicts, verdicts...) })
	}
}

func (d *Daemon) adoptStoredVerdict(name string, value []byte) {
	if len(value) == 0 {
		return // the store client has logged it
	}
	v, err := decodeStoredVerdict(value, time.Now())
	if err != nil {
		d.log.Warn("failed to decode verdict", "name", name, "err", err)
		return
	}
	d.crashes.adopt(v)
}

func decodeStoredVerdict(value []byte, now time.Time) (quarantine.Verdict, error) {
	var stored storedVerdict
	if err := json.Unmarshal(value, &stored); err != nil {
		return quarantine.Verdict{}, errors.Wrap(err, "decode verdict")
	}
	// The clock of the daemon that wrote the verdict may be ahead.
	v := quarantine.Verdict{
		Stage: decodeStage(stored.WithinAnswer), Age: max(0, core.FromDuration(now.Sub(time.UnixMilli(stored.MadeAt)))),
	}
	for _, text := range stored.Traits {
		t, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return quarantine.Verdict{}, errors.Wrapf(err, "trait %q", text)
		}
		v.Traits = append(v.Traits, quarantine.Trait(t))
	}
	if !slices.IsSorted(v.Traits) {
		return quarantine.Verdict{}, errors.New("traits are not sorted")
	}
	return v, nil
}

func encodeStoredVerdict(v quarantine.Verdict, now time.Time) ([]byte, error) {
	stored := storedVerdict{
		MadeAt: now.Add(-v.Age.Duration()).UnixMilli(), WithinAnswer: v.Stage == quarantine.WithinAnswer,
	}
	for _, t := range v.Traits {
		stored.Traits = append(stored.Traits, strconv.FormatUint(uint64(t), 16))
	}
	return json.Marshal(stored)
}

// saveVerdicts keeps the verdicts for which this daemon is responsible in the store, until ctx ends.
func (d *Daemon) saveVerdicts(ctx context.Context) {
	saved := map[uint64]core.Micros{} // when they were reached, by key
	var era uint64
	shell.Every(ctx, verdictSaveInterval, func(ctx context.Context) {
		latest, _ := d.eras.Latest()
		if era != 0 && latest != era {
			clear(saved) // a restored store may lack them
		}
		era = latest
		inForce := map[uint64]bool{}
		for _, v := range d.crashes.verdicts() {
			inForce[v.Key()] = true
			made := d.now() - v.Age
			if at, ok := saved[v.Key()]; ok && made-at < core.Second || !d.writesVerdict(v) {
				continue
			}
			if d.saveVerdict(ctx, v) {
				saved[v.Key()] = made
			}
		}
		for key := range saved {
			if !inForce[key] && d.deleteVerdict(ctx, key) {
				delete(saved, key)
			}
		}
	})
}

func verdictName(key uint64) string { return strconv.FormatUint(key, 16) }

func (d *Daemon) writesVerdict(v quarantine.Verdict) bool {
	return slices.Contains(rendezvous.Top(verdictName(v.Key()), d.link.LiveWithStore(), verdictWriters), d.settings.Name)
}

func (d *Daemon) saveVerdict(ctx context.Context, v quarantine.Verdict) bool {
	value, err := encodeStoredVerdict(v, time.Now())
	if err == nil {
		err = d.adapter.Store.Put(ctx, KindVerdicts, verdictName(v.Key()), value)
	}
	if err != nil {
		d.log.Warn("failed to save verdict", "traits", formatTraits(v.Traits), "err", err)
	}
	return err == nil
}

func (d *Daemon) deleteVerdict(ctx context.Context, key uint64) bool {
	err := d.adapter.Store.Delete(ctx, KindVerdicts, verdictName(key))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		d.log.Warn("failed to delete verdict", "name", verdictName(key), "err", err)
		return false
	}
	return true
}
