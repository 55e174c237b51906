package fakeengine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// FaultKind is a kind of fault command.
type FaultKind string

// Fault commands.
const (
	FaultDelay             FaultKind = "delay"        // delays every call by Ms milliseconds; 0 ends the fault
	FaultRefuse            FaultKind = "refuse"       // refuses the next Count requests with Code; 0 ends the fault
	FaultSilent            FaultKind = "silent"       // stops all output of the open streams; new connections work
	FaultDrop              FaultKind = "drop"         // breaks the connections of all open streams
	FaultProtocolViolation FaultKind = "nonsense"     // the next Count streams violate the protocol in the way of Mode
	FaultCrash             FaultKind = "crash"        // crashes the engine immediately
	FaultCrashOn           FaultKind = "crash_on"     // prompts that contain Marker crash the engine; empty ends the fault
	FaultIgnoreFence       FaultKind = "ignore_fence" // accepts orders with an old fence; Off ends the fault
	FaultLeaving           FaultKind = "leaving"      // reports state leaving and refuses new work; Off ends the fault
	FaultFlush             FaultKind = "flush"        // empties the prefix cache except pinned blocks, as between measurements
	FaultClear             FaultKind = "clear"        // ends all faults, but not on streams that are silent already
)

// ViolationMode is a way to violate the stream protocol.
type ViolationMode string

// Ways to violate the stream protocol.
const (
	ViolationMalformed ViolationMode = "garbage" // sends an event that does not parse
	ViolationGap       ViolationMode = "gap"     // skips a token offset
	ViolationRepeat    ViolationMode = "repeat"  // sends a token twice
	ViolationAttempt   ViolationMode = "attempt" // sends a token with another attempt number
	ViolationEarlyDone ViolationMode = "done"    // sends [DONE] before the finish reason
)

// Fault is a fault command, the body of POST /fault.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	Ms     int           `json:"ms,omitempty"`
	Count  int           `json:"count,omitempty"`
	Code   string        `json:"code,omitempty"`
	Mode   ViolationMode `json:"mode,omitempty"`
	Marker string        `json:"marker,omitempty"`
	Off    bool          `json:"off,omitempty"`
}

// faults are the currently active faults.
type faults struct {
	delay         time.Duration
	refusals      int
	refusalCode   string
	violations    int
	violationMode ViolationMode
	crashMarker   string
	ignoreFence   bool
}

// nextRefusal consumes and returns the refusal of the next request, or nil if it is not to be refused.
func (f *faults) nextRefusal() *refusalError {
	if f.refusals <= 0 {
		return nil
	}
	f.refusals--
	return &refusalError{http.StatusServiceUnavailable, f.refusalCode, "refused by an injected fault"}
}

// nextViolation consumes and returns the protocol violation of the next stream, or "" if it has none.
func (f *faults) nextViolation() ViolationMode {
	if f.violations <= 0 {
		return ""
	}
	f.violations--
	return f.violationMode
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var in Fault
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeRefusal(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	if !e.Inject(in) {
		writeRefusal(w, http.StatusBadRequest, engine.CodeInvalidRequest, "unknown fault kind")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Inject executes a fault command. It returns false if the fault kind is unknown.
func (e *Engine) Inject(in Fault) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Info("fault", "kind", in.Kind, "ms", in.Ms, "count", in.Count, "mode", in.Mode, "off", in.Off)
	f := &e.faults
	switch in.Kind {
	case FaultDelay:
		f.delay = time.Duration(in.Ms) * time.Millisecond
	case FaultRefuse:
		f.refusals, f.refusalCode = in.Count, in.Code
		setDefault(&f.refusalCode, engine.CodeUnavailable)
	case FaultSilent:
		e.silenceConnections()
	case FaultDrop:
		e.dropConnections()
	case FaultProtocolViolation:
		f.violations, f.violationMode = in.Count, in.Mode
		setDefault(&f.violationMode, ViolationMalformed)
	case FaultCrash:
		e.crash()
	case FaultCrashOn:
		f.crashMarker = in.Marker
	case FaultIgnoreFence:
		f.ignoreFence = !in.Off
	case FaultLeaving:
		e.leaving = !in.Off
	case FaultFlush:
		e.pool.flush()
	case FaultClear:
		*f = faults{ignoreFence: e.settings.IgnoresFence}
		e.leaving = false
	default:
		return false
	}
	return true
}

func (e *Engine) silenceConnections() {
	for _, r := range e.requests {
		if r.conn != nil {
			r.conn.silent = true
			r.conn.notify()
		}
	}
}
