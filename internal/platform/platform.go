// Package platform is the client of the platform's object API, the durable store of the configuration, claims, leases
// and verdicts.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the object API stores.
const MaxValueBytes = 1 << 20

// Kinds of objects that carobstile stores.
const (
	KindConfig      = "config"       // the root of the configuration, name "root"
	KindConfigChunk = "config-chunk" // chunks of the configuration, named by their SHA-256 in hex
	KindClaim       = "claims"       // claims of non-idempotent requests
	KindLease       = "leases"       // leases, name "controller"
	KindVerdict     = "verdicts"     // fingerprints of requests that reached the crash limit
	KindStatus      = "status"       // status published for operators
)

// Object is a stored value with its version.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the revision of the last write; 0 means that the object does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// HostState says whether the platform considers a host live or leaving.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list, which lags behind the actual state. It lists entry hosts and backend
// server hosts.
type Host struct {
	// Address is the IP address and port of the process on the host.
	Address       string    `json:"address"`
	FailureDomain string    `json:"failureDomain"`
	State         HostState `json:"state"`
}

// Errors of the object API. They are returned wrapped; test for them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the version condition did not hold; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrTooLarge means that the value is over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrRejected means that the platform rejected the call before it took effect (rate limit or outage); nothing was
	// written.
	ErrRejected = errors.New("call rejected by the platform")
	// ErrUnknown means that the response was lost; a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of the call is unknown")
)

// Watch is the result of a WatchAfter call.
type Watch struct {
	// Revision is the revision to pass to the next WatchAfter call.
	Revision uint64 `json:"revision"`
	// Era is the era of the store that the answer names; 0 if it names none.
	Era uint64 `json:"era,omitempty"`
	// Objects are the changed objects, in the order of their changes; empty on a timeout. A deleted object has Version 0.
	Objects []Object `json:"objects"`
}

// Store is the object API. All methods honour the context's deadline and return the errors above, wrapped.
type Store interface {
	// Get reads one object. Reads may be stale.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes unconditionally and returns the new version.
	Put(ctx context.Context, kind, name string, value []byte) (uint64, error)
	// PutIf writes if the version of the object is ifVersion (0: the object must not exist) and returns the new
	// version.
	PutIf(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error)
	// DeleteIf deletes the object if its version is ifVersion.
	DeleteIf(ctx context.Context, kind, name string, ifVersion uint64) error
	// List returns the objects of a kind whose names start with prefix, sorted by name.
	List(ctx context.Context, kind, prefix string) ([]Object, error)
	// WatchAfter waits up to timeout for changes after revision to objects of a kind whose names start with prefix.
	WatchAfter(ctx context.Context, kind, prefix string, revision uint64, timeout time.Duration) (Watch, error)
	// Hosts returns the entries of the host list in a state; an empty state means all. The few leaving hosts are read
	// often; the whole list, over 100 KB at 1,560 hosts, is read rarely.
	Hosts(ctx context.Context, state HostState) ([]Host, error)
}

// DeleteListed deletes an object that was listed at a version, unless it has changed since. It reports whether this
// call deleted the object.
func DeleteListed(ctx context.Context, store Store, kind, name string, version uint64) (bool, error) {
	err := store.DeleteIf(ctx, kind, name, version)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound) {
		return false, nil
	}
	return err == nil, errors.Wrapf(err, "delete %s/%s", kind, name)
}
