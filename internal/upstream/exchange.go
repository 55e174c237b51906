package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Send. Every error that Send returns is marked with exactly one of them; test with errors.Is of
// cockroachdb/errors.
var (
	// ErrNotSent means that no byte of the request has left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrUnknown means that the server may have run the request.
	ErrUnknown = errors.New("outcome of the request unknown")
)

// ErrDeclined additionally marks errors of requests that were not sent because Observe or Allowed returned false.
var ErrDeclined = errors.New("server accepts no further requests")

// ErrInvalidResponse additionally marks errors caused by bytes that are not a valid response or exceed its limits, as
// opposed to a connection that was closed or timed out. Response.Read returns it too.
var ErrInvalidResponse = errors.New("server sent an invalid response")

const (
	// writeBufferBytes holds a request's headers and a short body, so that they leave in one system call.
	writeBufferBytes = 8 << 10
	// maxSyncBodyBytes is the largest body that is written before the response is read. Longer bodies are written
	// concurrently, because a server may respond early and stop reading the body.
	maxSyncBodyBytes = 4 << 10
	// uploadResultTimeout is how long the end of an answer waits for the result of writing the request, which is normally there. A server
	// that ends the connection before it has read the request is not waited for.
	uploadResultTimeout = 200 * time.Millisecond
	// maxHeadBytes bounds the status line and header of a response, together with the informational responses before it. A daemon
	// has up to a thousand connections to servers.
	maxHeadBytes = 16 << 10
	// maxForeignResponses bounds how many responses to other requests are skipped on one connection.
	maxForeignResponses = 2
	// maxForeignBodyBytes bounds the body of a skipped response.
	maxForeignBodyBytes = 1 << 20
)

// Request is an outgoing request to a backend server.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	// Body holds the bytes of the body, in pieces.
	Body [][]byte
	// NewConn forces a new connection instead of an idle one from the pool.
	NewConn bool
	// Deadline is when all I/O of the request fails, including reads of the response body.
	Deadline time.Time
	// Matches reports whether a response header belongs to this request; nil accepts every response. A server may send a
	// late response to an earlier request, or repeat one. sole is set if nothing else was sent or received on the
	// connection, so that the response cannot belong to another request.
	Matches func(h http.Header, sole bool) bool
	// Observe, if set, is called with each response header read from the connection, including those of responses to
	// other requests. It returns false if the server must not receive further requests; if this one has not been sent yet,
	// Send then fails with ErrDeclined.
	Observe func(status int, h http.Header) bool
	// Allowed, if set, is called once there is a connection, before the first byte is written. If it returns false, Send fails
	// with ErrDeclined.
	Allowed func() bool
}

// Response is the response of a backend server. The caller must call Close.
type Response struct {
	Status int
	Header http.Header

	raw        *http.Response
	conn       *conn
	upload     *upload
	stopCancel func() bool
	complete   bool
}

// upload is the writing of a request to its connection.
type upload struct {
	done chan struct{} // closed at its end
	err  error         // set before done is closed
}

func (u *upload) finish(err error) {
	u.err = err
	close(u.done)
}

// succeeded reports whether the whole request has been written, and waits up to timeout for it.
func (u *upload) succeeded(timeout time.Duration) bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-timer.C:
		return false
	}
}

// Send sends a request to a server once and returns the response when its header has been read.
func (p *Pool) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	out, err := newHTTPRequest(r)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	c, err := p.get(ctx, t, r)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	if r.Allowed != nil && !r.Allowed() {
		c.close()
		return nil, errors.Mark(errors.Mark(errors.Newf("server %s accepts no further requests", t.ID), ErrDeclined), ErrNotSent)
	}
	c.beginRequest(r.Deadline)
	stop := context.AfterFunc(ctx, c.cancel)
	resp := &Response{conn: c, stopCancel: stop, upload: &upload{done: make(chan struct{})}}
	if out.ContentLength <= maxSyncBodyBytes {
		n, err := writeCounted(c, out)
		if err != nil {
			resp.abort()
			return nil, sendError(err, n)
		}
		resp.upload.finish(nil)
	} else {
		go func() {
			_, err := writeCounted(c, out)
			resp.upload.finish(err)
		}()
	}
	if err := resp.readHeader(out, r); err != nil {
		resp.abort()
		return nil, errors.Mark(err, ErrUnknown)
	}
	return resp, nil
}

func sendError(err error, n int) error {
	err = errors.Wrap(err, "write request")
	if n == 0 {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrUnknown)
}

func newHTTPRequest(r *Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, errors.Wrap(err, "parse request target")
	}
	if u.Host == "" && !strings.HasPrefix(r.URI, "//") {
		u = &url.URL{Opaque: r.URI} // preserves the caller's encoding of the path
	}
	out := &http.Request{Method: r.Method, URL: u, Host: r.Host, Header: r.Header}
	for _, piece := range r.Body {
		out.ContentLength += int64(len(piece))
	}
	if out.ContentLength > 0 {
		body := net.Buffers(slices.Clone(r.Body)) // reading consumes the list of pieces
		out.Body = io.NopCloser(&body)
	}
	return out, nil
}

// writeCounted writes the request and returns the number of bytes written to the connection.
func writeCounted(c *conn, out *http.Request) (int, error) {
	counter := &countingWriter{to: c.Conn}
	buffered := bufio.NewWriterSize(counter, writeBufferBytes)
	err := writeRequest(buffered, out)
	if err == nil {
		err = buffered.Flush()
	}
	return counter.n, err
}

type countingWriter struct {
	to io.Writer
	n  int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.n += n
	return n, err
}

func writeRequest(w io.Writer, out *http.Request) error {
	if out.Header.Get("User-Agent") == "" {
		out.Header.Set("User-Agent", "") // otherwise net/http adds its own User-Agent
	}
	return out.Write(w)
}

// readHeader reads response headers until one belongs to the request, and skips informational responses and a few
// responses to other requests.
func (r *Response) readHeader(out *http.Request, req *Request) error {
	for foreign := 0; ; {
		raw, err := r.conn.readHead(out)
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if req.Observe != nil {
			req.Observe(raw.StatusCode, raw.Header)
		}
		if req.Matches == nil || req.Matches(raw.Header, !r.conn.used && foreign == 0) {
			r.raw, r.Status, r.Header = raw, raw.StatusCode, raw.Header
			return nil
		}
		foreign++
		if foreign > maxForeignResponses || raw.Close {
			return errors.Mark(errors.New("received a response to another request"), ErrInvalidResponse)
		}
		if _, err := io.CopyN(io.Discard, raw.Body, maxForeignBodyBytes); !errors.Is(err, io.EOF) {
			err = errors.Newf("response to another request did not end within %d bytes", maxForeignBodyBytes)
			return errors.Mark(err, ErrInvalidResponse)
		}
	}
}

// markInvalid marks a read error with ErrInvalidResponse unless the connection was closed or timed out.
func markInvalid(err error) error {
	var network net.Error
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return err
	}
	return errors.Mark(err, ErrInvalidResponse)
}

// Read reads the response body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.raw.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, markInvalid(err)
	}
	// If the server resets the connection while the request is written, the kernel may report that to the write alone, and the end of
	// the connection to the read.
	if r.endsWithConn() && !r.upload.succeeded(uploadResultTimeout) {
		return n, errors.Wrap(io.ErrUnexpectedEOF, "connection ended before the request was written")
	}
	r.complete = true
	return n, io.EOF
}

// endsWithConn reports whether only the end of the connection marks the end of the body.
func (r *Response) endsWithConn() bool {
	return r.raw.ContentLength < 0 && len(r.raw.TransferEncoding) == 0
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool { return r.complete }

func (r *Response) abort() {
	r.stopCancel()
	r.conn.close()
}

// Close returns the connection to the pool if the exchange is complete. Otherwise it closes the connection, which cancels
// the request at the server.
func (r *Response) Close() {
	cancelled := !r.stopCancel()
	idleTimeout := keepAliveTimeout(r.raw)
	// After an early response the server may still be reading the request body.
	if cancelled || !r.complete || !r.upload.succeeded(0) || idleTimeout <= 0 || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.conn.idleUntil = r.conn.pool.now().Add(idleTimeout)
	_ = r.conn.SetDeadline(time.Time{}) // fails only on a closed connection, which get detects before reuse
	r.conn.pool.put(r.conn)
}
