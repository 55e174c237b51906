// Package placecore is the reducer of the controller. It holds the lease that elects one controller, compares the
// models that the configuration intends with what the engines report, and emits orders. It keeps no plan: every round
// starts from the reports, so that an order of an old holder is corrected whether or not engines check fencing numbers.
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
	// Holder is the name of the process that holds the lease; empty when it was given back.
	Holder string `json:"holder"`
	// AttemptID names the acquisition, so that a writer whose answer was lost recognises its own write.
	AttemptID string `json:"attemptId"`
	// Epoch is the fencing number. Every acquisition increases it by one and renewals keep it.
	Epoch uint64 `json:"epoch"`
	// Renewals makes every renewal a change that others see.
	Renewals uint64 `json:"renewals"`
}

// WriteResult is how a write to the object API ended.
type WriteResult string

// Results of a write.
const (
	WriteOK       WriteResult = "ok"
	WriteConflict WriteResult = "conflict" // nothing was written
	WriteRejected WriteResult = "rejected" // nothing was written
	WriteUnknown  WriteResult = "unknown"  // the answer was lost
)

// Tick drives lease and reconciliation. The shell sends one every second.
type Tick struct {
	Now core.Micros
	// Candidate is true when this process is one of those that contend for the lease.
	Candidate bool
	// AttemptID is a fresh random id, used if this tick starts an acquisition.
	AttemptID string
}

// LeaseRead is the answer to ReadLease. Version 0 means that there is no lease yet.
type LeaseRead struct {
	Now     core.Micros
	Version uint64
	Lease   Lease
	Failed  bool
}

// LeaseWritten is the answer to WriteLease.
type LeaseWritten struct {
	Now     core.Micros
	Version uint64
	Result  WriteResult
}

// IntentChanged carries what the configuration intends.
type IntentChanged struct {
	Now    core.Micros
	Intent Intent
}

// Intent is the part of the configuration that placement needs, sorted by name.
type Intent struct {
	Generation         uint64
	Models             []Model
	Engines            []Engine
	LoadsPerMinute     int
	MaxConcurrentLoads int
}

// Model is an intended model.
type Model struct {
	Name, Version string
	Adapters      []string
	MinReplicas   int
	// Pools that may serve the model; empty means all.
	Pools []string
}

// Engine is a configured engine.
type Engine struct {
	Name, Address, Pool string
	// MaxModels is the number of models whose weights fit in the engine's memory.
	MaxModels int
	Drained   bool
}

// EngineReported is the state of one engine as its allocator or the engine itself reported it.
type EngineReported struct {
	Now    core.Micros
	Engine string
	// State is empty when the engine has not answered.
	State  engine.State
	Models []engine.LoadedModel
	// UsedShare is the used part of the KV memory, in percent.
	UsedShare int
	// QueuedTokens is prefill work not yet done.
	QueuedTokens int
}

// OrderDone is the answer to SendOrder.
type OrderDone struct {
	Now    core.Micros
	Engine string
	// Refused is true when the engine refused the fencing number.
	Refused bool
	// Failed is true when the outcome is unknown or an error.
	Failed bool
}

// StopRequested asks the controller to give the lease back.
type StopRequested struct{ Now core.Micros }

func (Tick) event()           {}
func (LeaseRead) event()      {}
func (LeaseWritten) event()   {}
func (IntentChanged) event()  {}
func (EngineReported) event() {}
func (OrderDone) event()      {}
func (StopRequested) event()  {}

// ReadLease asks for the stored lease.
type ReadLease struct{}

// WriteLease asks for a conditional write of the lease.
type WriteLease struct {
	IfVersion uint64
	Lease     Lease
}

// SendOrder asks for an order to an engine. The shell must not send it after ValidUntil.
type SendOrder struct {
	Engine, Address string
	Order           engine.Order
	ValidUntil      core.Micros
}

// RoleChanged tells the shell whether this process is the active controller.
type RoleChanged struct {
	Active bool
	Epoch  uint64
}

func (ReadLease) effect()   {}
func (WriteLease) effect()  {}
func (SendOrder) effect()   {}
func (RoleChanged) effect() {}
