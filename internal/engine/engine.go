// Package engine is the client of the model engines' protocol.
package engine

// Headers of a request to an engine, besides the usual ones.
const (
	HeaderRequestID  = "X-Request-Id"  // the same for all attempts of a request
	HeaderAttempt    = "X-Attempt"     // attempt number, from 1
	HeaderResumeFrom = "X-Resume-From" // tokens already delivered to the caller
	HeaderSeed       = "X-Seed"        // seed of the answer, decimal
	HeaderPriority   = "X-Priority"    // 0 (lowest) to 9
	HeaderGroup      = "X-Group"       // addresses of helping engines, comma-separated
	HeaderDeadlineMs = "X-Deadline-Ms" // milliseconds left
	HeaderReserve    = "X-Reserve"     // KV tokens reserved by the grant
	// HeaderModelVersion asks for a version of the model; without it the version loaded last answers.
	HeaderModelVersion = "X-Model-Version"
	// HeaderReservation is the id of the reservations of a multi-engine prompt; by default the request id.
	HeaderReservation = "X-Reservation"
	// HeaderClock is the sender's hybrid logical clock, "<wall micros>.<counter>", in the request and its answer. It
	// orders the events of both processes in the time line.
	HeaderClock = "X-Clock"
)

// Paths of the engine protocol.
const (
	PathChat         = "/v1/chat/completions"
	PathRequests     = "/engine/v1/requests/" // + id, DELETE cancels
	PathLoad         = "/engine/v1/load"
	PathCacheEvents  = "/engine/v1/cache-events"
	PathOrders       = "/engine/v1/orders"
	PathReservations = "/engine/v1/reservations"
	PathKV           = "/engine/v1/kv/"    // + hash of the last block in hex; GET exports, PUT imports, DELETE frees
	PathGroup        = "/engine/v1/group/" // + reservation id; PUT and DELETE by the lead of a multi-engine prompt
)

// BytesPerToken is the number of bytes of prompt text in a token.
const BytesPerToken = 4

// PrefixBlockTokens is the number of tokens of one cached prefix block.
const PrefixBlockTokens = 256

// PromptTokens returns the tokens of a prompt of n bytes.
func PromptTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// State is what an engine says of itself.
type State string

// States of an engine.
const (
	StateReady   State = "ready"
	StateLoading State = "loading"
	StateLeaving State = "leaving"
)

// Role is the kind of work an engine takes.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"   // prefill and decode
	RolePrefill Role = "prefill" // prefill only, exports KV cache
	RoleDecode  Role = "decode"  // imports KV cache, decodes
)

// LoadedModel is a model that an engine can run now.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// RunningRequest is a request that holds memory of an engine.
type RunningRequest struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	// ReservedTokens is the KV memory held, in tokens.
	ReservedTokens int `json:"reservedTokens"`
}

// Load is an engine's report. It lags behind the engine's state.
type Load struct {
	// Incarnation changes with every start of the engine.
	Incarnation string        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	State       State         `json:"state"`
	Role        Role          `json:"role"`
	Models      []LoadedModel `json:"models"`
	// Loading are models and adapters whose load was ordered and is not done.
	Loading []LoadedModel `json:"loading,omitempty"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence,omitempty"`
	// KV memory, in tokens.
	KVTokensTotal  int `json:"kvTokensTotal"`
	KVTokensUsed   int `json:"kvTokensUsed"`
	KVTokensCached int `json:"kvTokensCached"`
	// QueuedPrefillTokens is prefill work not yet done.
	QueuedPrefillTokens int              `json:"queuedPrefillTokens"`
	Running             []RunningRequest `json:"running"`
	// ReportedAtMicros is when the report was taken, by the engine's clock.
	ReportedAtMicros int64 `json:"reportedAtMicros"`
}

// CacheOp is what happened to a prefix block.
type CacheOp string

// Operations on the prefix cache.
const (
	CacheStored  CacheOp = "stored"
	CacheEvicted CacheOp = "evicted"
)

// CacheEvent tells of a prefix block. Events come late, and a gap in Sequence means that events were lost.
type CacheEvent struct {
	Sequence   uint64  `json:"sequence"`
	Op         CacheOp `json:"op"`
	PrefixHash uint64  `json:"prefixHash"`
	Tokens     int     `json:"tokens"`
}

// OrderOp is the kind of an order.
type OrderOp string

// Orders.
const (
	OrderLoad   OrderOp = "load"
	OrderUnload OrderOp = "unload"
	OrderRole   OrderOp = "role"
)

// Order tells an engine to change what it serves.
type Order struct {
	// Fence is the controller's lease epoch. Engines that check it refuse a lower one than they have seen with 409.
	Fence   uint64  `json:"fence"`
	Op      OrderOp `json:"op"`
	Model   string  `json:"model,omitempty"`
	Version string  `json:"version,omitempty"`
	Adapter string  `json:"adapter,omitempty"`
	Role    Role    `json:"role,omitempty"`
}

// KVBlocks is a chain of prefix blocks, as exported by one engine and imported by another. The stand-in moves no bytes
// of KV cache; it takes the time that they would take.
type KVBlocks struct {
	// Hashes of the blocks from the start of the prompt.
	Hashes []uint64 `json:"hashes"`
	// Owner and TTLMs of an import; the blocks cannot be evicted until then.
	Owner string `json:"owner,omitempty"`
	TTLMs int    `json:"ttlMs,omitempty"`
}

// GroupWork is the share of a multi-engine prompt that the lead gives to a helping engine. The lead repeats it to keep
// the helper's reservation, and reads from the answer how far the helper is.
type GroupWork struct {
	PrefillTokens int `json:"prefillTokens"`
	Priority      int `json:"priority"`
	TTLMs         int `json:"ttlMs"`
}

// GroupStatus is the answer to GroupWork.
type GroupStatus struct {
	ReservedTokens int  `json:"reservedTokens"`
	PrefillDone    bool `json:"prefillDone"`
}

// Reservation holds memory of a helping engine for a prompt that needs several engines. It expires unless renewed by a
// POST with the same id and owner.
type Reservation struct {
	ID     string `json:"id"`
	Owner  string `json:"owner"`
	Tokens int    `json:"tokens"`
	TTLMs  int    `json:"ttlMs"`
}
