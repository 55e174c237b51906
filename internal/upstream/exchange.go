package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Send. Every error that it returns is marked with exactly one of them, for errors.Is of cockroachdb/errors.
var (
	// ErrNotSent means that no byte of the request has left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("outcome of the request unknown")
)

const (
	// writeBuffer holds a request's headers and a short body, so that they leave in one system call.
	writeBuffer = 8 << 10
	// syncBody is the largest body that is written before the response is read. A server may answer before it has read
	// a longer one and stop reading.
	syncBody = 4 << 10
	// maxForeign bounds answers to other requests that are skipped on one connection.
	maxForeign = 2
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBytes = 1 << 20
)

// Request is a request as it leaves for a backend server.
type Request struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Fresh asks for a connection that has carried no other request.
	Fresh bool
	// Limit is when the request ends in any case.
	Limit time.Time
	// FirstByte bounds the wait for the response header; 0 leaves only Limit.
	FirstByte time.Duration
	// Own reports whether a response header belongs to this request. A server may send a late answer to an earlier one.
	Own func(http.Header) bool
}

// Response is the answer of a backend server. Close must be called.
type Response struct {
	Status int
	Header http.Header

	raw     *http.Response
	conn    *conn
	written chan error
	stop    func() bool
	whole   bool
	// dirty is set when bytes of the request body may still be due on the connection.
	dirty bool
}

// Send sends a request to a server and returns its response once the header is there.
func (p *Pool) Send(ctx context.Context, t Target, r *Request) (*Response, error) {
	out, err := outgoing(r)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	c, err := p.get(ctx, t, r.Fresh)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	c.begin(r.Limit)
	stop := context.AfterFunc(ctx, c.cancel)
	resp := &Response{conn: c, stop: stop, written: make(chan error, 1)}
	if len(r.Body) <= syncBody {
		n, err := write(c, out)
		if err != nil {
			resp.abort()
			return nil, sendError(err, n)
		}
		resp.written <- nil
	} else {
		go func() {
			_, err := write(c, out)
			resp.written <- err
		}()
	}
	c.stallAfter(r.FirstByte)
	if err := resp.readHeader(out, r.Own); err != nil {
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

func outgoing(r *Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, errors.Wrap(err, "request target")
	}
	if u.Host == "" && !strings.HasPrefix(r.URI, "//") {
		u = &url.URL{Opaque: r.URI} // keeps the path as the caller spelled it
	}
	out := &http.Request{Method: r.Method, URL: u, Host: r.Host, Header: r.Header, ContentLength: int64(len(r.Body))}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return out, nil
}

// write sends the request and returns how many bytes have left.
func write(c *conn, out *http.Request) (int, error) {
	counter := &countingWriter{to: c.Conn}
	buffered := bufio.NewWriterSize(counter, writeBuffer)
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
		out.Header.Set("User-Agent", "") // net/http would add its own
	}
	return out.Write(w)
}

// readHeader reads response headers until one belongs to the request.
func (r *Response) readHeader(out *http.Request, own func(http.Header) bool) error {
	for foreign := 0; ; {
		raw, err := http.ReadResponse(r.conn.reader, out)
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		if own == nil || own(raw.Header) {
			r.raw, r.Status, r.Header = raw, raw.StatusCode, raw.Header
			return nil
		}
		foreign++
		if foreign > maxForeign || raw.Close {
			return errors.New("response to another request")
		}
		if _, err := io.CopyN(io.Discard, raw.Body, maxForeignBytes); !errors.Is(err, io.EOF) {
			return errors.New("response to another request does not end")
		}
	}
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.raw.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Whole reports whether the body was read to its end.
func (r *Response) Whole() bool { return r.whole }

func (r *Response) abort() {
	r.stop()
	r.conn.close()
}

// Close gives the connection back if the exchange is complete, and closes it otherwise, which cancels the request at
// the server.
func (r *Response) Close() {
	cancelled := !r.stop()
	keep := keepFor(r.raw)
	select {
	case err := <-r.written:
		r.dirty = err != nil
	default:
		r.dirty = true // an early answer; the server may still read the rest of the body
	}
	if cancelled || !r.whole || r.dirty || keep <= 0 || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		return
	}
	r.conn.idleUntil = r.conn.pool.now().Add(keep)
	_ = r.conn.SetDeadline(time.Time{}) // a closed connection is found when it is taken again
	r.conn.pool.put(r.conn)
}
