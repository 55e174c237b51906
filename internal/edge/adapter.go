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
	KindServers = "servers" // entries written by backend servers
	KindDaemons = "daemons" // entries written by daemons
	// KindVerdicts holds the verdicts of package quarantine, written by daemons.
	KindVerdicts = "verdicts"
	// KindEvacuations holds one object for each failure domain that the operator has evacuated, written by the operator.
	KindEvacuations = "evacuations"
)

// Store is the client of the platform's store.
type Store interface {
	directory.Source
	// ListStale is List at a tenth of the price; its result may be seconds old.
	ListStale(ctx context.Context, kind string) (directory.Image, error)
	// Put writes an object of a kind that daemons write, and Delete removes one.
	Put(ctx context.Context, kind, name string, value []byte) error
	Delete(ctx context.Context, kind, name string) error
}

// Report is the state that a backend server reported, some hundred milliseconds old.
type Report struct {
	// Slowdown is how many times slower than its cost model the server works; 0 if it is not reported.
	Slowdown float64
	Notice   dispatch.Notice
}

// EngineClient fetches reports of backend servers and reserves memory on them.
//
// All calls also return what the server said about itself, with an error too if it answered.
type EngineClient interface {
	Report(ctx context.Context, address string) (Report, error)
	// Probe calls a path of a server, "" for the report of an engine, over a connection of its own. An error means that there is no way to the
	// server, or that it is down; it is marked with upstream.ErrNotSent if no connection was made.
	Probe(ctx context.Context, address, path string) error
	// Reserve reserves memory for a number of tokens under an id for the duration hold, or extends the reservation with
	// that id.
	Reserve(ctx context.Context, address, id string, tokens int, hold time.Duration) (dispatch.Notice, error)
	// Release ends the reservation with an id.
	Release(ctx context.Context, address, id string) (dispatch.Notice, error)
}

// Codec decodes objects of the store and translates headers.
type Codec interface {
	forward.HeaderCodec
	// ConfigName is the name of the object that holds the configuration.
	ConfigName() string
	// Config decodes the configuration object.
	Config(value []byte) (routing.Config, error)
	// Server decodes a server's entry. It returns an error for an entry that does not describe a usable server.
	Server(name string, value []byte) (dispatch.Server, error)
}

// Adapter holds the platform clients and the codec that a daemon uses.
type Adapter struct {
	Store   Store
	Engines EngineClient
	Codec   Codec
}
