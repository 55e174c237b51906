package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/evlog"
)

// Limits of the HTTP client.
const (
	// DefaultSilence is the default silence timeout. Engines send a heartbeat every 500 ms.
	DefaultSilence = 2 * time.Second
	// dialTimeout is below DefaultSilence, so that an address that drops packets is not classified as a silent engine.
	dialTimeout = time.Second
	// maxControlBytes is the maximum size of a response body other than a stream.
	maxControlBytes       = 4 << 20
	maxIdleConnsPerEngine = 32
	idleConnTimeout       = 30 * time.Second
	// streamBufferBytes is the size of a connection's read and write buffers. It fits the headers of a request, or a few
	// events.
	streamBufferBytes = 1 << 10
)

// HTTP implements Client over HTTP/1.1.
type HTTP struct {
	// Clock, if set, is sent with each chat request and merged with the clock in the engine's response.
	Clock *evlog.Clock

	silence  time.Duration
	pooled   *http.Transport
	unpooled *http.Transport
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client. silence is the maximum time without a byte from an engine; 0 means DefaultSilence.
func NewHTTP(silence time.Duration) *HTTP {
	if silence <= 0 {
		silence = DefaultSilence
	}
	c := &HTTP{silence: silence, pooled: newTransport(), unpooled: newTransport()}
	c.unpooled.DisableKeepAlives = true
	return c
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// Every open stream holds both buffers, so they are small. Request bodies bypass the write buffer.
		ReadBufferSize:  streamBufferBytes,
		WriteBufferSize: streamBufferBytes,
	}
}

// Close closes the idle connections.
func (c *HTTP) Close() { c.pooled.CloseIdleConnections() }

// Start implements Client.
func (c *HTTP) Start(ctx context.Context, address string, req Request) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	httpReq, err := newStreamRequest(ctx, address, req)
	if err != nil {
		cancel(nil)
		return nil, &Error{Kind: KindUnreachable, Address: address, Err: err}
	}
	if c.Clock != nil {
		httpReq.Header.Set(HeaderClock, c.Clock.Now().String())
	}
	body := &readTrackingBody{Reader: bytes.NewReader(req.Body)}
	httpReq.Body = body
	transport := c.pooled
	if req.NewConnection {
		transport = c.unpooled
	}
	s := &httpStream{address: address, ctx: ctx, cancel: cancel, silence: c.silence}
	s.watchdog = time.AfterFunc(c.silence, s.onSilence)
	resp, err := transport.RoundTrip(httpReq)
	if err != nil {
		defer s.Close()
		return nil, c.transportError(ctx, address, err, body.wasRead.Load())
	}
	ObserveClock(c.Clock, resp.Header)
	if resp.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, responseError(address, resp)
	}
	if err := s.openBody(resp); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// ObserveClock merges the sender's clock in the headers of a message into clock. It ignores a missing or malformed one.
func ObserveClock(clock *evlog.Clock, h http.Header) {
	if clock == nil {
		return
	}
	if t, err := evlog.ParseTimestamp(h.Get(HeaderClock)); err == nil {
		clock.Observe(t)
	}
}

// readTrackingBody is a request body that records whether the transport has read from it, that is, whether any byte of it
// may have been sent. The request has no GetBody, so that net/http never sends it twice.
type readTrackingBody struct {
	*bytes.Reader
	wasRead atomic.Bool
}

func (b *readTrackingBody) Read(p []byte) (int, error) {
	b.wasRead.Store(true)
	return b.Reader.Read(p)
}

func (b *readTrackingBody) Close() error { return nil }

func newStreamRequest(ctx context.Context, address string, req Request) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathChat, nil)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(req.Body))
	h := r.Header
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderRequestID, req.ID)
	h.Set(HeaderAttempt, strconv.Itoa(req.Attempt))
	h.Set(HeaderResumeFrom, strconv.Itoa(req.ResumeFrom))
	h.Set(HeaderSeed, strconv.FormatUint(req.Seed, 10))
	h.Set(HeaderPriority, strconv.Itoa(req.Priority))
	if len(req.Group) > 0 {
		h.Set(HeaderGroup, strings.Join(req.Group, ","))
	}
	if req.Version != "" {
		h.Set(HeaderModelVersion, req.Version)
	}
	if req.ReservationID != "" {
		h.Set(HeaderReservation, req.ReservationID)
	}
	if req.DeadlineMs > 0 {
		h.Set(HeaderDeadlineMs, strconv.FormatInt(req.DeadlineMs, 10))
	}
	if req.ReserveTokens > 0 {
		h.Set(HeaderReserve, strconv.Itoa(req.ReserveTokens))
	}
	return r, nil
}

// transportError classifies an error of the transport. sent is true if bytes of the body may have been sent.
func (c *HTTP) transportError(ctx context.Context, address string, err error, sent bool) error {
	e := &Error{Kind: KindLost, Address: address, Err: err}
	var op *net.OpError
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		e.Kind, e.Err = KindSilent, errSilent
		c.Close() // other idle connections to the engine may be silent too
	case ctx.Err() != nil:
		e.Kind = KindCancelled
	case !sent && errors.As(err, &op) && op.Op == "dial":
		e.Kind = KindUnreachable
	}
	return e
}

// responseError returns the error described by a response with an unsuccessful status.
func responseError(address string, resp *http.Response) error {
	defer resp.Body.Close()
	e := &Error{Kind: KindProtocol, Address: address, Status: resp.StatusCode}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		e.Kind, e.Err = KindLost, err
		return e
	}
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		e.Err = errors.Newf("status %d without a valid error body", resp.StatusCode)
		return e
	}
	e.Code = body.Error.Code
	e.Kind = KindFailed
	if body.Error.Run == RunNot {
		e.Kind = KindRefused
	}
	if body.Error.Message != "" {
		e.Err = errors.New(body.Error.Message)
	}
	return e
}

// Cancel implements Client.
func (c *HTTP) Cancel(ctx context.Context, address, id string, attempt int) error {
	path := PathRequests + url.PathEscape(id) + "?attempt=" + strconv.Itoa(attempt)
	return ignoreNotFound(c.control(ctx, address, http.MethodDelete, path, nil, nil))
}

// Load implements Client.
func (c *HTTP) Load(ctx context.Context, address string) (Load, error) {
	var out Load
	err := c.control(ctx, address, http.MethodGet, PathLoad, nil, &out)
	return out, err
}

// CacheEvents implements Client.
func (c *HTTP) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	err := c.control(ctx, address, http.MethodGet, fmt.Sprintf("%s?after=%d", PathCacheEvents, after), nil, &out)
	return out, err
}

// Order implements Client.
func (c *HTTP) Order(ctx context.Context, address string, o Order) error {
	return c.control(ctx, address, http.MethodPost, PathOrders, o, nil)
}

// Reserve implements Client.
func (c *HTTP) Reserve(ctx context.Context, address string, r Reservation) error {
	return c.control(ctx, address, http.MethodPost, PathReservations, r, nil)
}

// Unreserve implements Client.
func (c *HTTP) Unreserve(ctx context.Context, address, id, owner string) error {
	path := PathReservations + "?" + url.Values{"id": {id}, "owner": {owner}}.Encode()
	return ignoreNotFound(c.control(ctx, address, http.MethodDelete, path, nil, nil))
}

func ignoreNotFound(err error) error {
	if CodeOf(err) == CodeNotFound {
		return nil
	}
	return err
}

// control makes a call other than Start. It fails after the silence timeout at the latest.
func (c *HTTP) control(ctx context.Context, address, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeoutCause(ctx, c.silence, errSilent)
	defer cancel()
	var payload []byte
	if in != nil {
		var err error
		if payload, err = json.Marshal(in); err != nil {
			return &Error{Kind: KindUnreachable, Address: address, Err: err}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(payload))
	if err != nil {
		return &Error{Kind: KindUnreachable, Address: address, Err: err}
	}
	resp, err := c.pooled.RoundTrip(req)
	if err != nil {
		return c.transportError(ctx, address, err, false)
	}
	if resp.StatusCode/100 != 2 {
		return responseError(address, resp)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return c.transportError(ctx, address, err, true)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Kind: KindProtocol, Address: address, Status: resp.StatusCode, Err: err}
	}
	return nil
}

// AssignGroupWork assigns a helper engine its part of a multi-engine prompt, or renews the assignment. Only engines call
// it.
func (c *HTTP) AssignGroupWork(ctx context.Context, address, reservation string, work GroupWork) (GroupStatus, error) {
	var out GroupStatus
	err := c.control(ctx, address, http.MethodPut, PathGroup+url.PathEscape(reservation), work, &out)
	return out, err
}

// ReleaseGroupWork ends a helper engine's part of a multi-engine prompt and releases its reservation. Only engines call
// it.
func (c *HTTP) ReleaseGroupWork(ctx context.Context, address, reservation string) error {
	path := PathGroup + url.PathEscape(reservation)
	return ignoreNotFound(c.control(ctx, address, http.MethodDelete, path, nil, nil))
}
