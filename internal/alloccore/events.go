package alloccore

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// Event is one input of the reducer.
type Event interface{ event() }

// Effect is one output of the reducer.
type Effect interface{ effect() }

// EngineConfig is what the configuration says of one engine of the pool.
type EngineConfig struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// KVTokens is the KV memory, in tokens; an engine's report overrides it.
	KVTokens int `json:"kvTokens"`
	// PrefillRate and DecodeRate (per stream) are nominal rates, in tokens a second.
	PrefillRate int  `json:"prefillRate"`
	DecodeRate  int  `json:"decodeRate"`
	Drained     bool `json:"drained,omitempty"`
}

// Request describes one attempt that asks for engines.
type Request struct {
	Gate            string `json:"gate"`
	RequestID       string `json:"requestId"`
	Attempt         int    `json:"attempt"`
	Workspace       string `json:"workspace"`
	Weight          int    `json:"weight,omitempty"`
	Priority        int    `json:"priority"`
	Model           string `json:"model"`
	Adapter         string `json:"adapter,omitempty"`
	PromptTokens    int    `json:"promptTokens"`
	MaxOutputTokens int    `json:"maxOutputTokens"`
	// PrefixHashes are hashes of prompt prefixes, longest last; prefix i covers (i+1)*PrefixBlock tokens.
	PrefixHashes []uint64 `json:"prefixHashes,omitempty"`
	PrefixBlock  int      `json:"prefixBlock,omitempty"`
	// Deadline is a point in time; 0 means none.
	Deadline core.Micros `json:"deadline,omitempty"`
	// MaxWait is a span; 0 asks for an answer at once.
	MaxWait      core.Micros `json:"maxWait"`
	SuspectCount int         `json:"suspectCount,omitempty"`
	Excluded     []string    `json:"excluded,omitempty"`
}

// EngineShare is the memory of one engine that a grant reserves.
type EngineShare struct {
	Engine      string `json:"engine"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Tokens is the KV memory reserved, in tokens.
	Tokens int `json:"tokens"`
}

// HeldGrant is what a gate knows of a grant that it renews.
type HeldGrant struct {
	GrantID   string        `json:"grantId"`
	RequestID string        `json:"requestId"`
	Engines   []EngineShare `json:"engines"`
	Priority  int           `json:"priority"`
	Workspace string        `json:"workspace"`
}

// Outcome is the end of an attempt.
type Outcome string

// Outcomes.
const (
	OutcomeComplete  Outcome = "complete"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeRefused   Outcome = "refused"
	OutcomeLost      Outcome = "lost"
	OutcomeFailed    Outcome = "failed"
)

// RefusalCode says why a request was given no engines.
type RefusalCode string

// Refusal codes.
const (
	CodeOverloaded     RefusalCode = "overloaded"
	CodeNoEngine       RefusalCode = "noEngine"
	CodeNotAllocator   RefusalCode = "notAllocator"
	CodeTooLarge       RefusalCode = "tooLarge"
	CodeCrashesServers RefusalCode = "crashesServers"
	CodeLeaving        RefusalCode = "leaving"
)

// Events.
type (
	// PoolConfigured states the engines and limits of the pool. The first one starts the allocator.
	PoolConfigured struct {
		Now        core.Micros    `json:"now"`
		Engines    []EngineConfig `json:"engines"`
		QueueLimit int            `json:"queueLimit"`
		CrashLimit int            `json:"crashLimit"`
	}
	// EngineReported is the answer of an engine to a load poll.
	EngineReported struct {
		Now    core.Micros `json:"now"`
		Engine string      `json:"engine"`
		// AskedAt is when the poll was sent; the report cannot show a request granted after it.
		AskedAt core.Micros `json:"askedAt"`
		Load    engine.Load `json:"load"`
	}
	// EngineUnreachable is a load poll that failed.
	EngineUnreachable struct {
		Now    core.Micros `json:"now"`
		Engine string      `json:"engine"`
		// Refused is true when the engine's host refused the connection, which proves that no engine runs there.
		Refused bool `json:"refused,omitempty"`
	}
	// GrantAsked is a request for engines. Ask numbers are chosen by the shell and never repeat.
	GrantAsked struct {
		Now     core.Micros `json:"now"`
		Ask     uint64      `json:"ask"`
		Request Request     `json:"request"`
	}
	// AskAbandoned tells that nobody waits for the answer any more; a grant already given is freed.
	AskAbandoned struct {
		Now core.Micros `json:"now"`
		Ask uint64      `json:"ask"`
	}
	// GrantsRenewed extends grants of one gate, and carries enough to adopt unknown ones.
	GrantsRenewed struct {
		Now    core.Micros `json:"now"`
		Gate   string      `json:"gate"`
		Call   uint64      `json:"call"`
		Grants []HeldGrant `json:"grants"`
	}
	// GrantReleased gives a grant back.
	GrantReleased struct {
		Now          core.Micros `json:"now"`
		GrantID      string      `json:"grantId"`
		Outcome      Outcome     `json:"outcome"`
		OutputTokens int         `json:"outputTokens"`
	}
	// Closed ends granting: waiting and later requests are refused with Code. Renewals and releases go on.
	Closed struct {
		Now  core.Micros `json:"now"`
		Code RefusalCode `json:"code"`
	}
	// TimerFired answers a SetTimer. Stale ones are harmless.
	TimerFired struct {
		Now core.Micros `json:"now"`
		Key string      `json:"key"`
	}
)

// Effects.
type (
	// Granted answers a GrantAsked with engines, the lead first.
	Granted struct {
		Ask       uint64        `json:"ask"`
		GrantID   string        `json:"grantId"`
		RequestID string        `json:"requestId"`
		Engines   []EngineShare `json:"engines"`
		Expires   core.Micros   `json:"expires"`
	}
	// Refused answers a GrantAsked; nothing was reserved.
	Refused struct {
		Ask          uint64      `json:"ask"`
		RequestID    string      `json:"requestId"`
		Code         RefusalCode `json:"code"`
		ExpectedWait core.Micros `json:"expectedWait"`
	}
	// Renewed answers a GrantsRenewed with the grants that could not be renewed.
	Renewed struct {
		Call    uint64      `json:"call"`
		Lost    []string    `json:"lost,omitempty"`
		Expires core.Micros `json:"expires"`
	}
	// SetTimer asks for a TimerFired with Key at At. A later SetTimer with the same key replaces it.
	SetTimer struct {
		Key string      `json:"key"`
		At  core.Micros `json:"at"`
	}
)

func (PoolConfigured) event()    {}
func (EngineReported) event()    {}
func (EngineUnreachable) event() {}
func (GrantAsked) event()        {}
func (AskAbandoned) event()      {}
func (GrantsRenewed) event()     {}
func (GrantReleased) event()     {}
func (Closed) event()            {}
func (TimerFired) event()        {}

func (Granted) effect()  {}
func (Refused) effect()  {}
func (Renewed) effect()  {}
func (SetTimer) effect() {}
