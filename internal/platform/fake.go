package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxHistoryLength is the largest number of changes that a Fake retains for watches; above it, the older half is
// dropped.
const maxHistoryLength = 65_536

// Fake is an in-memory Store with fault injection, for tests and for the fake platform process.
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

// Faults are the failures that a Fake injects. The zero value injects none.
type Faults struct {
	// Outage rejects every call.
	Outage bool `json:"outage,omitempty"`
	// DelayMs delays every call except watches.
	DelayMs int `json:"delayMs,omitempty"`
	// LoseWriteResponses is the number of next writes that are applied but return ErrUnknown.
	LoseWriteResponses int `json:"loseWriteAnswers,omitempty"`
	// StaleReads makes every Get return the object as it was that many of its own changes earlier, as far as the
	// history reaches.
	StaleReads int `json:"staleReads,omitempty"`
}

// Counts are the numbers of calls that a Fake received, counted in the same way as by the platform.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// WaitingWatches is the number of watches that are currently waiting.
	WaitingWatches int `json:"waitingWatches"`
}

// NewFake returns an empty Fake.
func NewFake() *Fake {
	return &Fake{objects: map[objectKey]Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
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

// Counts returns the numbers of calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Get implements Store.
func (f *Fake) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := f.beginCall(ctx, &f.counts.Reads); err != nil {
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

// read returns the current state of an object, or an earlier one if stale reads are injected.
func (f *Fake) read(key objectKey) (Object, bool) {
	current, ok := f.objects[key]
	remaining := f.faults.StaleReads
	if remaining == 0 {
		return current, ok
	}
	for i := len(f.history) - 1; i >= 0; i-- {
		earlier := f.history[i]
		if earlier.Kind != key.kind || earlier.Name != key.name {
			continue
		}
		if remaining == 0 {
			return earlier, earlier.Version != 0
		}
		current, ok = earlier, earlier.Version != 0
		remaining--
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
	if err := f.beginCall(ctx, &f.counts.Writes); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := objectKey{object.Kind, object.Name}
	if current := f.objects[key].Version; ifVersion != nil && current != *ifVersion {
		return 0, errors.Wrapf(ErrConflict, "%s/%s is at version %d, not %d", object.Kind, object.Name, current, *ifVersion)
	}
	version := f.apply(key, object)
	if f.faults.LoseWriteResponses > 0 {
		f.faults.LoseWriteResponses--
		return 0, errors.Wrapf(ErrUnknown, "response to the write of %s/%s lost", object.Kind, object.Name)
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
	if len(f.history) > maxHistoryLength {
		f.history = append([]Object(nil), f.history[maxHistoryLength/2:]...)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return f.revision
}

// List implements Store.
func (f *Fake) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	if err := f.beginCall(ctx, &f.counts.Reads); err != nil {
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
	f.addWaitingWatches(1)
	defer f.addWaitingWatches(-1)
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

func (f *Fake) addWaitingWatches(n int) {
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
	if err := f.beginCall(ctx, &f.counts.Reads); err != nil {
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

// beginCall counts a call and injects the faults that precede its effect.
func (f *Fake) beginCall(ctx context.Context, count *uint64) error {
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
