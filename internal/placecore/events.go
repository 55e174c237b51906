// Package placecore is the reducer of the controller. It maintains the lease that elects the active controller, compares
// the configured models with the engines' reports, and emits orders to engines. Every round starts from the reports and
// no plan is kept between rounds, so that an order of a former lease holder is corrected even if engines do not check
// fencing numbers.
package placecore

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Lease is the stored lease.
type Lease struct {
	// Holder is the name of the process that holds the lease; empty if the lease was released.
	Holder string `json:"holder"`
	// AttemptID identifies the acquisition, so that a writer recognises its own write if the response was lost.
	AttemptID string `json:"attemptId"`
	// Epoch is the fencing number. Every acquisition increases it by one and renewals keep it.
	Epoch uint64 `json:"epoch"`
	// Renewals counts the renewals of the acquisition, so that each renewal changes the stored object.
	Renewals uint64 `json:"renewals"`
}

// WriteResult is the result of a write to the object API.
type WriteResult string

const (
	WriteOK       WriteResult = "ok"
	WriteConflict WriteResult = "conflict" // nothing was written
	WriteRejected WriteResult = "rejected" // nothing was written
	WriteUnknown  WriteResult = "unknown"  // the response was lost; the write may have taken effect
)

// Tick drives the lease protocol and reconciliation. The shell sends one every second.
type Tick struct {
	Now core.Micros
	// Candidate is true if this process may acquire the lease.
	Candidate bool
	// AttemptID is a new random ID, used if this tick starts an acquisition.
	AttemptID string
}

// LeaseRead is the result of ReadLease. Version 0 means that no lease exists.
type LeaseRead struct {
	Now     core.Micros
	Version uint64
	Lease   Lease
	Failed  bool
}

// LeaseWritten is the result of WriteLease.
type LeaseWritten struct {
	Now     core.Micros
	Version uint64
	Result  WriteResult
}

// IntentChanged reports a new intended state.
type IntentChanged struct {
	Now    core.Micros
	Intent Intent
}

// Intent is the part of the configuration that placement needs. Models and engines are sorted by name.
type Intent struct {
	Generation         uint64
	Models             []Model
	Engines            []Engine
	LoadsPerMinute     int
	MaxConcurrentLoads int
}

// Model is a configured model.
type Model struct {
	Name, Version string
	Adapters      []string
	MinReplicas   int
	// Pools lists the pools that may serve the model; empty means all pools.
	Pools []string
}

// Engine is a configured engine.
type Engine struct {
	Name, Address, Pool string
	// MaxModels is the number of models whose weights fit into the engine's memory.
	MaxModels int
	Drained   bool
}

// EngineReported is the state of one engine as reported by its allocator or by the engine itself.
type EngineReported struct {
	Now    core.Micros
	Engine string
	// State is empty if the engine has not responded.
	State  engine.State
	Models []engine.LoadedModel
	// KVUsedPercent is the percentage of KV memory in use.
	KVUsedPercent int
	// QueuedPrefillTokens is the outstanding prefill work, in tokens.
	QueuedPrefillTokens int
}

// OrderDone is the result of SendOrder.
type OrderDone struct {
	Now    core.Micros
	Engine string
	// Refused is true if the engine refused the fencing number.
	Refused bool
	// Failed is true if the order was not sent, failed otherwise or has an unknown outcome.
	Failed bool
}

// StopRequested requests the release of the lease before a planned stop.
type StopRequested struct{ Now core.Micros }

func (Tick) event()           {}
func (LeaseRead) event()      {}
func (LeaseWritten) event()   {}
func (IntentChanged) event()  {}
func (EngineReported) event() {}
func (OrderDone) event()      {}
func (StopRequested) event()  {}

// ReadLease requests a read of the stored lease.
type ReadLease struct{}

// WriteLease requests a write of the lease, conditional on the stored version.
type WriteLease struct {
	IfVersion uint64
	Lease     Lease
}

// SendOrder requests that an order be sent to an engine. The shell must not send it after ValidUntil.
type SendOrder struct {
	Engine, Address string
	Order           engine.Order
	ValidUntil      core.Micros
}

// RoleChanged notifies the shell that this process has become or ceased to be the active controller.
type RoleChanged struct {
	Active bool
	Epoch  uint64
}

func (ReadLease) effect()   {}
func (WriteLease) effect()  {}
func (SendOrder) effect()   {}
func (RoleChanged) effect() {}
