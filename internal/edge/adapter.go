package edge

import (
	"context"
	"time"

	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/forward"
	"github.com/carobstile/carobstile/internal/routing"
)

// Kinds of objects that a daemon reads from the platform's store.
const (
	KindConfig  = "config"  // configurations written by the operator
	KindServers = "servers" // what backend servers write of themselves
	KindDaemons = "daemons" // what daemons write of themselves
)

// Store is the platform's store.
type Store interface {
	directory.Source
	// ListStale is List at a tenth of the price; what it returns may be seconds old.
	ListStale(ctx context.Context, kind string) (directory.Image, error)
	// Announce writes what other daemons need to find this one. Withdraw removes it.
	Announce(ctx context.Context, name string, value []byte) error
	Withdraw(ctx context.Context, name string) error
}

// Report is what a backend server says of itself, as of some hundred milliseconds ago.
type Report struct {
	// Pace is how many times slower than its cost model the server works; 0 if it does not say.
	Pace float64
}

// Engines asks backend servers for reports and gives them orders.
type Engines interface {
	Report(ctx context.Context, address string) (Report, error)
	// Reserve sets memory aside under an id, or prolongs that reservation.
	Reserve(ctx context.Context, address, id string, tokens int, hold time.Duration) error
	Release(ctx context.Context, address, id string) error
}

// Codec decodes objects of the store and translates headers.
type Codec interface {
	forward.Dialect
	// ConfigName is the name of the object that holds the configuration in force.
	ConfigName() string
	Config(value []byte) (routing.Config, error)
	// Server returns an error for an entry that names no server to use.
	Server(name string, value []byte) (dispatch.Server, error)
}

// Adapter is all that a daemon needs of the platform.
type Adapter struct {
	Store   Store
	Engines Engines
	Codec   Codec
}
