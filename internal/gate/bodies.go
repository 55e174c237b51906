package gate

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/gatecore"
)

const (
	// DefaultMaxOpenBodyBytes holds 64 prompts of a million tokens, which are 4 MB each.
	DefaultMaxOpenBodyBytes = 256 << 20
	// smallBodyBytes is the size up to which bodies are not counted: the prompt of a short request (4,000 tokens) is
	// 16 KB, and short requests must get through while huge ones wait.
	smallBodyBytes = 64 << 10
	// largeParses bounds the large bodies that are decoded at once. Decoding one of 4 MB takes about 80 ms of a core and
	// two to three times its size; short requests and streams need the other cores.
	largeParses = 2
)

// bodies counts the large request bodies that a gate holds.
type bodies struct {
	limit  int64
	used   atomic.Int64
	parses chan struct{}
}

func newBodies(limit int64) *bodies {
	return &bodies{limit: limit, parses: make(chan struct{}, largeParses)}
}

// take counts a body of n bytes. It returns what give takes back.
func (b *bodies) take(n int64) (held int64, ok bool) {
	if n <= smallBodyBytes {
		return 0, true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return 0, false
	}
	return n, true
}

func (b *bodies) give(held int64) { b.used.Add(-held) }

// parse runs f, together with few others when the body is large.
func (b *bodies) parse(ctx context.Context, n int, f func() (*modelRequest, *problem)) (*modelRequest, *problem) {
	if n <= smallBodyBytes {
		return f()
	}
	select {
	case b.parses <- struct{}{}:
	case <-ctx.Done():
		return nil, notRun(gatecore.CodeInvalidRequest, "the caller left")
	}
	defer func() { <-b.parses }()
	return f()
}

// read reads a bounded body and counts it; held is to be given back. A body of unknown length counts as the largest one
// while it is read.
func (b *bodies) read(w http.ResponseWriter, r *http.Request, limit int) (body []byte, held int64, p *problem) {
	if r.ContentLength > int64(limit) {
		return nil, 0, tooLarge(limit)
	}
	expected := r.ContentLength
	if expected < 0 {
		expected = int64(limit)
	}
	taken, ok := b.take(expected)
	if !ok {
		return nil, 0, notRun(gatecore.CodeOverloaded, "the gate holds as many request bodies as it may")
	}
	body, p = readBody(w, r, limit)
	if p == nil && int64(len(body)) > smallBodyBytes {
		held = min(taken, int64(len(body)))
	}
	b.give(taken - held)
	return body, held, p
}

// readAll is io.ReadAll with room for the stated length, which spares the copies of a growing buffer.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	if errors.Is(err, io.EOF) && length == 0 {
		err = nil
	}
	return body[:n], err
}
