package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// historyLength is the number of changes that a fake keeps for watches.
const historyLength = 65_536

// Fake is an in-memory Store with faults, for tests and for the stand-in platform.
type Fake struct {
	mu       sync.Mutex
	objects  map[objectKey]Object
	revision uint64
	history  []Object
	changed  chan struct{}
	hosts    []Host
	faults   Faults
	counts   Counts
}

type objectKey struct{ kind, name string }

// Faults are the failures that a Fake shows. The zero value shows none.
type Faults struct {
	// Outage rejects every call.
	Outage bool `json:"outage,omitempty"`
	// DelayMs delays every call but watches.
	DelayMs int `json:"delayMs,omitempty"`
	// LoseWriteAnswers applies that many next writes and then loses their answers.
	LoseWriteAnswers int `json:"loseWriteAnswers,omitempty"`
	// StaleReads returns every object as it was that many revisions of its own ago, where the history still has it.
	StaleReads int `json:"staleReads,omitempty"`
}

// Counts are the calls that a Fake has answered, each as the platform counts it.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// WaitingWatches is the number of watches that wait now.
	WaitingWatches int `json:"waitingWatches"`
}

// NewFake returns an empty store.
func NewFake() *Fake {
	return &Fake{objects: map[objectKey]Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetHosts replaces the host list.
func (f *Fake) SetHosts(hosts []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append([]Host(nil), hosts...)
}

// Counts returns the calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Get implements Store.
func (f *Fake) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := f.begin(ctx, &f.counts.Reads); err != nil {
		return Object{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	object, ok := f.read(objectKey{kind, name})
	if !ok {
		return Object{}, errors.Wrapf(ErrNotFound, "%s/%s", kind, name)
	}
	return object, nil
}

// read returns an object, or an earlier state of it while reads are stale.
func (f *Fake) read(key objectKey) (Object, bool) {
	current, ok := f.objects[key]
	back := f.faults.StaleReads
	if back == 0 {
		return current, ok
	}
	for i := len(f.history) - 1; i >= 0; i-- {
		past := f.history[i]
		if past.Kind != key.kind || past.Name != key.name {
			continue
		}
		if back == 0 {
			return past, past.Version != 0
		}
		current, ok = past, past.Version != 0
		back--
	}
	return current, ok
}

// Put implements Store.
func (f *Fake) Put(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	return f.write(ctx, Object{Kind: kind, Name: name, Value: value}, nil)
}

// PutIf implements Store.
func (f *Fake) PutIf(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	return f.write(ctx, Object{Kind: kind, Name: name, Value: value}, &ifVersion)
}

// DeleteIf implements Store.
func (f *Fake) DeleteIf(ctx context.Context, kind, name string, ifVersion uint64) error {
	_, err := f.write(ctx, Object{Kind: kind, Name: name}, &ifVersion)
	return err
}

func (f *Fake) write(ctx context.Context, object Object, ifVersion *uint64) (uint64, error) {
	if len(object.Value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "%s/%s has %d bytes", object.Kind, object.Name, len(object.Value))
	}
	if err := f.begin(ctx, &f.counts.Writes); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := objectKey{object.Kind, object.Name}
	if now := f.objects[key].Version; ifVersion != nil && now != *ifVersion {
		return 0, errors.Wrapf(ErrConflict, "%s/%s is at version %d, not %d", object.Kind, object.Name, now, *ifVersion)
	}
	version := f.apply(key, object)
	if f.faults.LoseWriteAnswers > 0 {
		f.faults.LoseWriteAnswers--
		return 0, errors.Wrapf(ErrUnknown, "answer lost for %s/%s", object.Kind, object.Name)
	}
	return version, nil
}

func (f *Fake) apply(key objectKey, object Object) uint64 {
	f.revision++
	if object.Value == nil {
		delete(f.objects, key)
	} else {
		object.Version = f.revision
		object.Value = append([]byte{}, object.Value...)
		f.objects[key] = object
	}
	f.history = append(f.history, object)
	if len(f.history) > historyLength {
		f.history = append([]Object(nil), f.history[historyLength/2:]...)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return f.revision
}

// List implements Store.
func (f *Fake) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	if err := f.begin(ctx, &f.counts.Reads); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Object
	for key, object := range f.objects {
		if key.kind == kind && strings.HasPrefix(key.name, prefix) {
			out = append(out, object)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// WatchAfter implements Store.
func (f *Fake) WatchAfter(ctx context.Context, kind, prefix string, revision uint64, timeout time.Duration) (Watch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.addWaiting(1)
	defer f.addWaiting(-1)
	for {
		result, changed, err := f.changesAfter(kind, prefix, revision)
		if err != nil || len(result.Objects) > 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result, nil
		}
	}
}

func (f *Fake) addWaiting(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.WaitingWatches += n
	if n > 0 {
		f.counts.Watches++
	}
}

func (f *Fake) changesAfter(kind, prefix string, revision uint64) (Watch, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Outage {
		return Watch{}, nil, errors.Wrap(ErrRejected, "platform outage")
	}
	result := Watch{Revision: f.revision}
	first := f.revision - uint64(len(f.history))
	for i := max(revision, first) - first; i < uint64(len(f.history)); i++ {
		object := f.history[i]
		if object.Kind == kind && strings.HasPrefix(object.Name, prefix) {
			result.Objects = append(result.Objects, object)
		}
	}
	return result, f.changed, nil
}

// Hosts implements Store.
func (f *Fake) Hosts(ctx context.Context, state HostState) ([]Host, error) {
	if err := f.begin(ctx, &f.counts.Reads); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Host
	for _, h := range f.hosts {
		if state == "" || h.State == state {
			out = append(out, h)
		}
	}
	return out, nil
}

// begin counts a call and shows the faults that precede its effect.
func (f *Fake) begin(ctx context.Context, count *uint64) error {
	f.mu.Lock()
	*count++
	faults := f.faults
	f.mu.Unlock()
	if faults.DelayMs > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMs) * time.Millisecond):
		case <-ctx.Done():
			return errors.Wrap(ErrRejected, "deadline passed before the call took effect")
		}
	}
	if faults.Outage {
		return errors.Wrap(ErrRejected, "platform outage")
	}
	return nil
}
