package alloccore

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// Event is one input of the reducer.
type Event interface{ event() }

// Effect is one output of the reducer.
type Effect interface{ effect() }

// EngineConfig is the configuration of one engine of the pool.
type EngineConfig struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// KVTokens is the KV memory, in tokens. The value in an engine's report takes precedence.
	KVTokens int `json:"kvTokens"`
	// PrefillRate and DecodeRate (per stream) are nominal rates in tokens per second.
	PrefillRate int  `json:"prefillRate"`
	DecodeRate  int  `json:"decodeRate"`
	Drained     bool `json:"drained,omitempty"`
}

// Request describes the attempt for which a gate requests engines.
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
	// PrefixHashes are hashes of prompt prefixes, longest last. The prefix at index i covers (i+1)*PrefixBlock tokens.
	PrefixHashes []uint64 `json:"prefixHashes,omitempty"`
	PrefixBlock  int      `json:"prefixBlock,omitempty"`
	// Deadline is a point in time; 0 means no deadline.
	Deadline core.Micros `json:"deadline,omitempty"`
	// MaxWait is a duration; 0 requires an immediate answer.
	MaxWait      core.Micros `json:"maxWait"`
	SuspectCount int         `json:"suspectCount,omitempty"`
	Excluded     []string    `json:"excluded,omitempty"`
}

// EngineShare is the memory that a grant reserves on one engine.
type EngineShare struct {
	Engine      string `json:"engine"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Tokens is the reserved KV memory, in tokens.
	Tokens int `json:"tokens"`
}

// HeldGrant is a gate's record of a grant that it renews.
type HeldGrant struct {
	GrantID   string        `json:"grantId"`
	RequestID string        `json:"requestId"`
	Engines   []EngineShare `json:"engines"`
	Priority  int           `json:"priority"`
	Workspace string        `json:"workspace"`
}

// Outcome is the result of an attempt.
type Outcome string

// Outcomes.
const (
	OutcomeComplete  Outcome = "complete"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeRefused   Outcome = "refused"
	OutcomeLost      Outcome = "lost"
	OutcomeFailed    Outcome = "failed"
)

// RefusalCode is the reason why a request was not granted.
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
	// PoolConfigured sets the engines and limits of the pool. The first one starts the allocator.
	PoolConfigured struct {
		Now        core.Micros    `json:"now"`
		Engines    []EngineConfig `json:"engines"`
		QueueLimit int            `json:"queueLimit"`
		CrashLimit int            `json:"crashLimit"`
	}
	// EngineReported is the response of an engine to a load poll.
	EngineReported struct {
		Now    core.Micros `json:"now"`
		Engine string      `json:"engine"`
		// PolledAt is when the poll was sent; the report cannot include a request granted later.
		PolledAt core.Micros `json:"askedAt"`
		Load     engine.Load `json:"load"`
	}
	// EngineUnreachable is a failed load poll.
	EngineUnreachable struct {
		Now    core.Micros `json:"now"`
		Engine string      `json:"engine"`
		// Refused is true if the engine's host refused the connection, which proves that no engine runs there.
		Refused bool `json:"refused,omitempty"`
	}
	// GrantRequested requests engines for an attempt. The code that drives the reducer chooses the Call numbers, which
	// never repeat.
	GrantRequested struct {
		Now     core.Micros `json:"now"`
		Call    uint64      `json:"ask"`
		Request Request     `json:"request"`
	}
	// GrantRequestAbandoned reports that the requester no longer waits for the answer. A grant already issued for the
	// request is freed.
	GrantRequestAbandoned struct {
		Now  core.Micros `json:"now"`
		Call uint64      `json:"ask"`
	}
	// GrantsRenewed renews grants of one gate. It carries enough data to adopt grants that the allocator does not know.
	GrantsRenewed struct {
		Now    core.Micros `json:"now"`
		Gate   string      `json:"gate"`
		Call   uint64      `json:"call"`
		Grants []HeldGrant `json:"grants"`
	}
	// GrantReleased ends a grant after its attempt has ended.
	GrantReleased struct {
		Now          core.Micros `json:"now"`
		GrantID      string      `json:"grantId"`
		Outcome      Outcome     `json:"outcome"`
		OutputTokens int         `json:"outputTokens"`
	}
	// GrantingStopped stops granting: queued and later requests are refused with Code. Renewals and releases are still
	// handled.
	GrantingStopped struct {
		Now  core.Micros `json:"now"`
		Code RefusalCode `json:"code"`
	}
	// TimerFired reports that a timer set by SetTimer has fired. Stale timers have no effect.
	TimerFired struct {
		Now core.Micros `json:"now"`
		Key string      `json:"key"`
	}
)

// Effects.
type (
	// Granted answers a GrantRequested with the reserved engines, the lead engine first.
	Granted struct {
		Call      uint64        `json:"ask"`
		GrantID   string        `json:"grantId"`
		RequestID string        `json:"requestId"`
		Engines   []EngineShare `json:"engines"`
		Expires   core.Micros   `json:"expires"`
	}
	// Refused answers a GrantRequested without a reservation.
	Refused struct {
		Call         uint64      `json:"ask"`
		RequestID    string      `json:"requestId"`
		Code         RefusalCode `json:"code"`
		ExpectedWait core.Micros `json:"expectedWait"`
	}
	// Renewed answers a GrantsRenewed and lists the grants that could not be renewed.
	Renewed struct {
		Call    uint64      `json:"call"`
		Lost    []string    `json:"lost,omitempty"`
		Expires core.Micros `json:"expires"`
	}
	// SetTimer requests a TimerFired event with Key at time At. A later SetTimer with the same key replaces it.
	SetTimer struct {
		Key string      `json:"key"`
		At  core.Micros `json:"at"`
	}
)

func (PoolConfigured) event()        {}
func (EngineReported) event()        {}
func (EngineUnreachable) event()     {}
func (GrantRequested) event()        {}
func (GrantRequestAbandoned) event() {}
func (GrantsRenewed) event()         {}
func (GrantReleased) event()         {}
func (GrantingStopped) event()       {}
func (TimerFired) event()            {}

func (Granted) effect()  {}
func (Refused) effect()  {}
func (Renewed) effect()  {}
func (SetTimer) effect() {}
