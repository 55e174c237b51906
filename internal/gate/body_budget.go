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
	// DefaultMaxOpenBodyBytes is enough for 64 prompts of a million tokens, which are 4 MB each.
	DefaultMaxOpenBodyBytes = 256 << 20
	// smallBodyBytes is the size up to which bodies are not counted. The prompt of a short request (4,000 tokens) is 16
	// KB, and short requests must be accepted while very large ones wait.
	smallBodyBytes = 64 << 10
	// maxLargeParses limits the number of large bodies decoded at the same time. Decoding 4 MB takes about 80 ms of one
	// core and two to three times the size in memory; short requests and streams need the other cores.
	maxLargeParses = 2
)

// bodyBudget limits the memory held by large request bodies, and how many of them are decoded at the same time.
type bodyBudget struct {
	limit      int64
	used       atomic.Int64
	parseSlots chan struct{}
}

func newBodyBudget(limit int64) *bodyBudget {
	return &bodyBudget{limit: limit, parseSlots: make(chan struct{}, maxLargeParses)}
}

// reserve counts a body of n bytes if the limit allows it. It returns the size to pass to release.
func (b *bodyBudget) reserve(n int64) (held int64, ok bool) {
	if n <= smallBodyBytes {
		return 0, true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return 0, false
	}
	return n, true
}

func (b *bodyBudget) release(held int64) { b.used.Add(-held) }

// parse runs f. For a large body it first waits for one of maxLargeParses slots.
func (b *bodyBudget) parse(ctx context.Context, n int, f func() (*modelRequest, *problem)) (*modelRequest, *problem) {
	if n <= smallBodyBytes {
		return f()
	}
	select {
	case b.parseSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, notRun(gatecore.CodeInvalidRequest, "the caller left")
	}
	defer func() { <-b.parseSlots }()
	return f()
}

// read reads a body of at most limit bytes and reserves its size; held must be released. A body of unknown length
// counts as limit bytes while it is read.
func (b *bodyBudget) read(w http.ResponseWriter, r *http.Request, limit int) (body []byte, held int64, p *problem) {
	if r.ContentLength > int64(limit) {
		return nil, 0, tooLarge(limit)
	}
	expected := r.ContentLength
	if expected < 0 {
		expected = int64(limit)
	}
	reserved, ok := b.reserve(expected)
	if !ok {
		return nil, 0, notRun(gatecore.CodeOverloaded, "the gate holds as many request bodies as it may")
	}
	body, p = readBody(w, r, limit)
	if p == nil && int64(len(body)) > smallBodyBytes {
		held = min(reserved, int64(len(body)))
	}
	b.release(reserved - held)
	return body, held, p
}

// readAll is io.ReadAll with a buffer of the declared length, which avoids the copies of a growing buffer.
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
