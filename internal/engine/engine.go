// Package engine defines the protocol of model engines and implements its client.
package engine

// Headers of the engine protocol in addition to the standard HTTP headers.
const (
	HeaderRequestID  = "X-Request-Id"  // the same for all attempts of a request
	HeaderAttempt    = "X-Attempt"     // attempt number, from 1
	HeaderResumeFrom = "X-Resume-From" // tokens already delivered to the caller
	HeaderSeed       = "X-Seed"        // sampling seed, decimal
	HeaderPriority   = "X-Priority"    // 0 (lowest) to 9
	HeaderGroup      = "X-Group"       // addresses of helper engines, comma-separated
	HeaderDeadlineMs = "X-Deadline-Ms" // time until the deadline, in milliseconds
	HeaderReserve    = "X-Reserve"     // KV tokens to reserve, from the grant
	// HeaderModelVersion selects a version of the model. The default is the version that was loaded last.
	HeaderModelVersion = "X-Model-Version"
	// HeaderReservation is the ID of the reservations for a multi-engine prompt. The default is the request ID.
	HeaderReservation = "X-Reservation"
	// HeaderClock is the sender's hybrid logical clock, "<wall micros>.<counter>", in requests and responses. It orders
	// the events of both processes in the timeline.
	HeaderClock = "X-Clock"
)

// Paths of the engine protocol.
const (
	PathChat         = "/v1/chat/completions"
	PathRequests     = "/engine/v1/requests/" // + request ID; DELETE cancels
	PathLoad         = "/engine/v1/load"
	PathCacheEvents  = "/engine/v1/cache-events"
	PathOrders       = "/engine/v1/orders"
	PathReservations = "/engine/v1/reservations"
	PathKV           = "/engine/v1/kv/"    // + hash of the last block in hex; GET exports, PUT imports, DELETE frees
	PathGroup        = "/engine/v1/group/" // + reservation id; PUT and DELETE by the lead engine of a multi-engine prompt
)

// BytesPerToken is the number of bytes of prompt text that count as one token.
const BytesPerToken = 4

// PrefixBlockTokens is the number of tokens in a block of the prefix cache.
const PrefixBlockTokens = 256

// PromptTokens returns the number of tokens in a prompt of n bytes, rounded up.
func PromptTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// State is the state of an engine as it reports it.
type State string

const (
	StateReady   State = "ready"
	StateLoading State = "loading"
	StateLeaving State = "leaving"
)

// Role is the kind of work that an engine accepts.
type Role string

const (
	RoleMixed   Role = "mixed"   // prefill and decode
	RolePrefill Role = "prefill" // prefill only, exports KV cache
	RoleDecode  Role = "decode"  // decode on imported KV cache
)

// LoadedModel is a model version that an engine has loaded, with its loaded adapters.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// RunningRequest is a request that holds KV memory of an engine.
type RunningRequest struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	// ReservedTokens is the KV memory that the request holds, in tokens.
	ReservedTokens int `json:"reservedTokens"`
}

// Load is an engine's load report. It may lag behind the engine's actual state.
type Load struct {
	// Incarnation changes with every start of the engine.
	Incarnation string        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	State       State         `json:"state"`
	Role        Role          `json:"role"`
	Models      []LoadedModel `json:"models"`
	// Loading lists the models and adapters whose ordered load is not complete.
	Loading []LoadedModel `json:"loading,omitempty"`
	// Fence is the highest fencing number that the engine has received.
	Fence uint64 `json:"fence,omitempty"`
	// KV memory, in tokens.
	KVTokensTotal  int `json:"kvTokensTotal"`
	KVTokensUsed   int `json:"kvTokensUsed"`
	KVTokensCached int `json:"kvTokensCached"`
	// QueuedPrefillTokens is the outstanding prefill work, in tokens.
	QueuedPrefillTokens int              `json:"queuedPrefillTokens"`
	Running             []RunningRequest `json:"running"`
	// ReportedAtMicros is the time of the report by the engine's clock, in microseconds.
	ReportedAtMicros int64 `json:"reportedAtMicros"`
}

// CacheOp is the kind of change to a prefix block.
type CacheOp string

// Changes to the prefix cache.
const (
	CacheStored  CacheOp = "stored"
	CacheEvicted CacheOp = "evicted"
)

// CacheEvent reports a change to a block of the prefix cache. Events arrive with a delay; a gap in Sequence means that
// events were lost.
type CacheEvent struct {
	Sequence   uint64  `json:"sequence"`
	Op         CacheOp `json:"op"`
	PrefixHash uint64  `json:"prefixHash"`
	Tokens     int     `json:"tokens"`
}

// OrderOp is the kind of an order.
type OrderOp string

// Kinds of orders.
const (
	OrderLoad   OrderOp = "load"
	OrderUnload OrderOp = "unload"
	OrderRole   OrderOp = "role"
)

// Order instructs an engine to load or unload a model or adapter, or to change its role.
type Order struct {
	// Fence is the fencing number, the epoch of the controller's lease. Engines that check it respond with status 409 if it
	// is lower than one that they have received before.
	Fence   uint64  `json:"fence"`
	Op      OrderOp `json:"op"`
	Model   string  `json:"model,omitempty"`
	Version string  `json:"version,omitempty"`
	Adapter string  `json:"adapter,omitempty"`
	Role    Role    `json:"role,omitempty"`
}

// KVBlocks is a chain of prefix blocks exported by one engine and imported by another. The fake engine transfers no KV
// cache data; it only simulates the transfer time.
type KVBlocks struct {
	// Hashes lists the block hashes from the start of the prompt.
	Hashes []uint64 `json:"hashes"`
	// Owner and TTLMs are set for an import. The imported blocks cannot be evicted for TTLMs milliseconds.
	Owner string `json:"owner,omitempty"`
	TTLMs int    `json:"ttlMs,omitempty"`
}

// GroupWork is the part of a multi-engine prompt that the lead engine assigns to a helper engine. The lead repeats the
// call to renew the helper's reservation and learns the helper's progress from the response.
type GroupWork struct {
	PrefillTokens int `json:"prefillTokens"`
	Priority      int `json:"priority"`
	TTLMs         int `json:"ttlMs"`
}

// GroupStatus is a helper engine's response to GroupWork.
type GroupStatus struct {
	ReservedTokens int  `json:"reservedTokens"`
	PrefillDone    bool `json:"prefillDone"`
}

// Reservation reserves KV memory of a helper engine for a multi-engine prompt. It expires after TTLMs milliseconds unless
// it is renewed by a POST with the same ID and owner.
type Reservation struct {
	ID     string `json:"id"`
	Owner  string `json:"owner"`
	Tokens int    `json:"tokens"`
	TTLMs  int    `json:"ttlMs"`
}
