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
	// Group lists the addresses of the helper engines.
	Group []string
	// DeadlineMs is the time until the deadline in milliseconds; 0 means no deadline.
	DeadlineMs int64
	// ReserveTokens is the KV memory of the grant in tokens; 0 lets the engine compute it.
	ReserveTokens int
	// Version is the version of the model; empty selects the version that was loaded last.
	Version string
	// ReservationID is the ID of the reservations at the helper engines; empty means ID.
	ReservationID string
	// Body is the caller's JSON body.
	Body []byte
	// NewConnection forces a new connection, because a reused one may be silent.
	NewConnection bool
}

// Frame is one SSE event or heartbeat of a response stream.
type Frame struct {
	// Heartbeat marks a comment line; no other field is set.
	Heartbeat bool
	// Done marks "data: [DONE]"; no other field is set.
	Done    bool
	Attempt int
	// Offset is the index of the frame's token in the response, from 0. In the finish frame it is the number of tokens.
	Offset int
	// Content is the token's text.
	Content string
	// Finish is the finish reason, FinishStop or FinishLength. It is set in the finish frame only, which has no token.
	Finish string
	Usage  *Usage
	// Fingerprint is the chunk's system fingerprint; see ParseFingerprint.
	Fingerprint string
	// Data is the JSON of the chunk as received.
	Data []byte
}

// Stream is a response stream. Next must not be called concurrently; Close may be called from any goroutine.
type Stream interface {
	// Next returns the next frame. After a frame with Done it returns io.EOF. Every other error is an *Error.
	Next() (Frame, error)
	// Close closes the connection. The engine keeps the request for its resume window unless it is cancelled.
	Close() error
}

// CacheEvents is a batch of cache events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Next is the value of the after parameter for the next call.
	Next uint64 `json:"next"`
}

// Client calls engines. All errors are of type *Error. Methods respect the context's deadline.
type Client interface {
	// Start sends a request and returns when the engine has accepted or refused it. The stream fails when ctx ends.
	Start(ctx context.Context, address string, req Request) (Stream, error)
	// Cancel cancels a request if its attempt number is at most attempt. An unknown request is not an error.
	Cancel(ctx context.Context, address, id string, attempt int) error
	// Load fetches the engine's load report.
	Load(ctx context.Context, address string) (Load, error)
	// CacheEvents fetches the cache events with a sequence number greater than after.
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// Order sends an order. An engine refuses an old fence with CodeOldFence.
	Order(ctx context.Context, address string, o Order) error
	// Reserve creates or renews a reservation.
	Reserve(ctx context.Context, address string, r Reservation) error
	// Unreserve releases a reservation of the owner. An unknown reservation is not an error.
	Unreserve(ctx context.Context, address, id, owner string) error
}
