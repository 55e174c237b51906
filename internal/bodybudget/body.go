package bodybudget

import (
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// idleTimeout is the time within which an arriving body must bring a byte. A caller that sends its body at once never waits
	// that long.
	idleTimeout = 5 * time.Second
	// Bodies are read in chunks that double the memory up to maxChunkBytes.
	minChunkBytes = 4 << 10
	maxChunkBytes = 64 << 10
	// headerLineBytes is the memory of a header line besides its text. Parsed headers with 2,000 or more different names take 115 to 125.
	headerLineBytes = 128
)

// Source is a body to read.
type Source struct {
	Body io.Reader
	// Announced is the announced length, -1 if there is none.
	Announced int64
	// Limit is the largest allowed size. Partial ends the reading at the limit instead of refusing the body.
	Limit   int64
	Partial bool
	// Overhead is further memory of the request that is counted with the body, such as its headers.
	Overhead int64
	// Deadline is when the body must have arrived.
	Deadline time.Time
	// SetReadDeadline bounds reads of the connection; it may be called at any time during Read. Nil if reads never block.
	SetReadDeadline func(time.Time) error
}

// Body is a body that arrives or is kept. It is counted until Release.
type Body struct {
	budget *Budget
	source Source
	chunks [][]byte
	size   int64

	// The fields below are guarded by Budget.mu.
	held int64
	// large is set once the body counts as large.
	large      bool
	dropped    bool
	progressAt time.Time
	progressed int64
}

// HeaderBytes returns the memory of headers, for Source.Overhead.
func HeaderBytes(h http.Header) int64 {
	n := int64(0)
	for name, values := range h {
		n += headerLineBytes + int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}

// Read reads a body to its end. After an error nothing is counted any more, and further reads of the connection end at once.
func (b *Budget) Read(s Source) (*Body, error) {
	if s.Announced > s.Limit && !s.Partial {
		b.countRefused("too_large")
		return nil, ErrTooLarge
	}
	if s.SetReadDeadline == nil {
		s.SetReadDeadline = func(time.Time) error { return nil }
	}
	body := &Body{budget: b, source: s, progressAt: b.opts.Now()}
	b.mu.Lock()
	b.arriving[body] = struct{}{}
	b.mu.Unlock()
	err := body.read()
	b.mu.Lock()
	delete(b.arriving, body)
	if body.dropped {
		err = ErrNoRoom
		b.dropping -= body.held
		if body.large {
			b.droppingLarge -= body.held
		}
	}
	b.mu.Unlock()
	if err == nil {
		_ = s.SetReadDeadline(time.Time{}) // unsupported only by test recorders
		return body, nil
	}
	body.Release()
	body.interrupt() // a server may otherwise wait for the rest of the body
	return nil, body.classify(err)
}

func (body *Body) classify(err error) error {
	switch {
	case errors.Is(err, ErrTooLarge):
		body.budget.countRefused("too_large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		body.budget.countRefused("too_slow")
		return errors.Mark(err, ErrTooSlow)
	}
	return err
}

// interrupt ends the current and all further reads.
func (body *Body) interrupt() { _ = body.source.SetReadDeadline(time.Unix(1, 0)) }

func (body *Body) read() error {
	if err := body.budget.grow(body, body.source.Overhead); err != nil {
		return err
	}
	if body.source.Announced == 0 {
		return nil
	}
	for {
		size := body.nextChunk()
		if size == 0 {
			return nil
		}
		if err := body.budget.grow(body, size); err != nil {
			return err
		}
		chunk := make([]byte, size)
		n, err := body.fill(chunk)
		body.chunks = append(body.chunks, chunk[:n])
		switch {
		case body.size > body.source.Limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF) && body.source.Announced > body.size:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			body.trim()
			return nil
		case err != nil:
			return err
		}
	}
}

// nextChunk returns the size of the next chunk, 0 if the body has arrived. One byte over the limit is read to notice that a body
// exceeds it.
func (body *Body) nextChunk() int64 {
	size := min(max(body.size, minChunkBytes), maxChunkBytes)
	if body.size == SmallBytes {
		size = minChunkBytes // a body of exactly this size has not ended for its reader yet, and is small
	}
	left := body.source.Limit - body.size
	if !body.source.Partial {
		left++
	}
	if announced := body.source.Announced; announced >= 0 {
		left = min(left, announced-body.size)
	}
	return min(size, left)
}

// smallLimit is the memory up to which a body counts as small.
func (body *Body) smallLimit() int64 { return SmallBytes + minChunkBytes + body.source.Overhead }

// fill reads until a chunk is full.
func (body *Body) fill(chunk []byte) (int, error) {
	for n := 0; n < len(chunk); {
		if !body.allowRead() {
			return n, ErrNoRoom
		}
		m, err := body.source.Body.Read(chunk[n:])
		n += m
		body.recordProgress(m)
		if err != nil {
			return n, err
		}
	}
	return len(chunk), nil
}

// allowRead sets the deadline of the next read. It returns false if the body was dropped, whose reads must end at once.
func (body *Body) allowRead() bool {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	if body.dropped {
		return false
	}
	end := body.budget.opts.Now().Add(idleTimeout)
	if d := body.source.Deadline; !d.IsZero() && d.Before(end) {
		end = d
	}
	_ = body.source.SetReadDeadline(end) // unsupported only by test recorders
	return true
}

func (body *Body) recordProgress(n int) {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.size += int64(n)
	if body.size >= body.progressed+progressStep {
		body.progressed, body.progressAt = body.size, body.budget.opts.Now()
	}
}

// trim frees the unused part of the last chunk.
func (body *Body) trim() {
	last := len(body.chunks) - 1
	unused := int64(cap(body.chunks[last]) - len(body.chunks[last]))
	if len(body.chunks[last]) == 0 {
		body.chunks = body.chunks[:last]
	} else if unused > 0 {
		body.chunks[last] = slices.Clip(slices.Clone(body.chunks[last]))
	}
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	if !body.dropped {
		body.shrink(unused)
	}
}

// shrink counts n bytes less. The caller holds Budget.mu.
func (body *Body) shrink(n int64) {
	body.held -= n
	large := int64(0)
	if body.large {
		large = -n
	}
	body.budget.add(-n, large)
}

// Release stops counting the body. It may be called more than once and on a nil body.
func (body *Body) Release() {
	if body == nil {
		return
	}
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.shrink(body.held)
}

// Size returns the size of the body in bytes.
func (body *Body) Size() int {
	if body == nil {
		return 0
	}
	return int(body.size)
}

// Chunks returns the bytes of the body.
func (body *Body) Chunks() [][]byte {
	if body == nil {
		return nil
	}
	return body.chunks
}

// Reader returns a reader of the body from its start.
func Reader(chunks [][]byte) io.Reader {
	buffers := net.Buffers(slices.Clone(chunks))
	return &buffers
}

// Join returns the body in one piece, which replaces the chunks. While it runs, it needs the memory of the body once more.
func (body *Body) Join() []byte {
	if len(body.chunks) == 1 {
		return body.chunks[0]
	}
	joined := slices.Concat(body.chunks...)
	if joined == nil {
		joined = []byte{}
	}
	body.chunks = [][]byte{joined}
	return joined
}
