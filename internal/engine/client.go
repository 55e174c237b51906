package engine

import "context"

// Request is one attempt of a request at an engine.
type Request struct {
	ID      string
	Attempt int
	// ResumeFrom is the number of tokens already delivered to the caller.
	ResumeFrom int
	Seed       uint64
	Priority   int
	// Group are the addresses of helping engines.
	Group []string
	// DeadlineMs is the time left; 0 means none.
	DeadlineMs int64
	// ReserveTokens is the KV memory of the grant; 0 lets the engine work it out.
	ReserveTokens int
	// Version of the model; empty takes the one loaded last.
	Version string
	// ReservationID names the reservations at the helping engines; empty means ID.
	ReservationID string
	// Body is the caller's JSON body.
	Body []byte
	// NewConnection forbids reuse of a connection, which may have gone silent.
	NewConnection bool
}

// Frame is one event of an answer.
type Frame struct {
	// Heartbeat marks a comment line; no other field is set.
	Heartbeat bool
	// Done marks "data: [DONE]"; no other field is set.
	Done    bool
	Attempt int
	// Offset is the index of the frame's token in the answer, from 0. The finish frame has the number of tokens.
	Offset int
	// Content is the token's text.
	Content string
	// Finish is FinishStop or FinishLength in the finish frame, which has no token.
	Finish string
	Usage  *Usage
	// Fingerprint is the chunk's system fingerprint, see ParseFingerprint.
	Fingerprint string
	// Data is the chunk as received.
	Data []byte
}

// Stream is an answer that arrives. One goroutine calls Next; Close may be called from any.
type Stream interface {
	// Next returns the next frame. After a frame with Done it returns io.EOF. Every other error is an *Error.
	Next() (Frame, error)
	// Close breaks the connection. The engine keeps the stream for its resume window unless it is cancelled.
	Close() error
}

// CacheEvents is a batch of cache events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Next is the value of after for the next call.
	Next uint64 `json:"next"`
}

// Client calls engines. Errors are of type *Error. Methods honour the context's deadline.
type Client interface {
	// Start sends a request and returns when the engine has accepted or refused it. The stream ends with ctx.
	Start(ctx context.Context, address string, req Request) (Stream, error)
	// Cancel ends a request whose attempt is at most the given one. An unknown request is no error.
	Cancel(ctx context.Context, address, id string, attempt int) error
	// Load fetches the engine's report.
	Load(ctx context.Context, address string) (Load, error)
	// CacheEvents fetches cache events with a sequence above after.
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// Order gives an order; an old fence is a refusal with CodeOldFence.
	Order(ctx context.Context, address string, o Order) error
	// Reserve makes or renews a reservation.
	Reserve(ctx context.Context, address string, r Reservation) error
	// Unreserve frees a reservation of the owner. An unknown reservation is no error.
	Unreserve(ctx context.Context, address, id, owner string) error
}
