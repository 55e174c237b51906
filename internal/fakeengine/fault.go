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
	FaultDelay       FaultKind = "delay"        // every call takes Ms more; 0 ends it
	FaultRefuse      FaultKind = "refuse"       // the next Count requests are refused with Code; 0 ends it
	FaultSilent      FaultKind = "silent"       // open streams send no byte any more, new connections work
	FaultDrop        FaultKind = "drop"         // all open streams break
	FaultNonsense    FaultKind = "nonsense"     // the next Count streams break the protocol as Mode says
	FaultCrash       FaultKind = "crash"        // the engine crashes at once
	FaultCrashOn     FaultKind = "crash_on"     // prompts that contain Marker crash the engine; empty ends it
	FaultIgnoreFence FaultKind = "ignore_fence" // orders with an old fencing number are taken, unless Off
	FaultLeaving     FaultKind = "leaving"      // the engine reports leaving and takes no new work, unless Off
	FaultFlush       FaultKind = "flush"        // the prefix cache is emptied, as between two measurements
	FaultClear       FaultKind = "clear"        // ends all faults
)

// NonsenseMode is a way to break the protocol.
type NonsenseMode string

// Ways to break the protocol.
const (
	NonsenseGarbage NonsenseMode = "garbage" // an event that does not parse
	NonsenseGap     NonsenseMode = "gap"     // a token is left out
	NonsenseRepeat  NonsenseMode = "repeat"  // a token is sent twice
	NonsenseAttempt NonsenseMode = "attempt" // a token carries another attempt number
	NonsenseDone    NonsenseMode = "done"    // the end comes before the finish frame
)

// Fault is the body of POST /fault.
type Fault struct {
	Kind   FaultKind    `json:"kind"`
	Ms     int          `json:"ms,omitempty"`
	Count  int          `json:"count,omitempty"`
	Code   string       `json:"code,omitempty"`
	Mode   NonsenseMode `json:"mode,omitempty"`
	Marker string       `json:"marker,omitempty"`
	Off    bool         `json:"off,omitempty"`
}

// faults are the faults in force.
type faults struct {
	delay       time.Duration
	refuse      int
	refuseCode  string
	nonsense    int
	mode        NonsenseMode
	crashMarker string
	ignoreFence bool
}

// refuseNext returns the refusal of the next request, nil when it is not to be refused.
func (f *faults) refuseNext() *refusalError {
	if f.refuse <= 0 {
		return nil
	}
	f.refuse--
	return &refusalError{http.StatusServiceUnavailable, f.refuseCode, "refused by a fault command"}
}

// nonsenseNext returns how the next stream breaks the protocol, "" when it does not.
func (f *faults) nonsenseNext() NonsenseMode {
	if f.nonsense <= 0 {
		return ""
	}
	f.nonsense--
	return f.mode
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var in Fault
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	if !e.Inject(in) {
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, "unknown kind of fault")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Inject carries out a fault command and reports whether its kind is known.
func (e *Engine) Inject(in Fault) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Info("fault", "kind", in.Kind, "ms", in.Ms, "count", in.Count, "mode", in.Mode, "off", in.Off)
	f := &e.faults
	switch in.Kind {
	case FaultDelay:
		f.delay = time.Duration(in.Ms) * time.Millisecond
	case FaultRefuse:
		f.refuse, f.refuseCode = in.Count, in.Code
		orDefault(&f.refuseCode, engine.CodeUnavailable)
	case FaultSilent:
		e.silenceConnections()
	case FaultDrop:
		e.dropConnections()
	case FaultNonsense:
		f.nonsense, f.mode = in.Count, in.Mode
		orDefault(&f.mode, NonsenseGarbage)
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
		*f = faults{ignoreFence: e.set.IgnoresFence}
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
