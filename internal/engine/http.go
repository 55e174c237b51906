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
	// DefaultSilence is how long an engine may send no byte; engines send a heartbeat every 500 ms.
	DefaultSilence = 2 * time.Second
	// dialTimeout is below the silence limit, so that an address that drops packets is told from a silent engine.
	dialTimeout = time.Second
	// maxControlBytes bounds the answer of a control call.
	maxControlBytes = 4 << 20
	idlePerEngine   = 32
	idleTimeout     = 30 * time.Second
	// streamBufferBytes holds the headers of a request, and some events.
	streamBufferBytes = 1 << 10
)

// HTTP is the Client over HTTP/1.1.
type HTTP struct {
	// Clock, when set, is sent with each request for an answer and takes in the engine's.
	Clock *evlog.Clock

	silence time.Duration
	pooled  *http.Transport
	fresh   *http.Transport
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client. silence is how long an engine may send no byte; 0 means DefaultSilence.
func NewHTTP(silence time.Duration) *HTTP {
	if silence <= 0 {
		silence = DefaultSilence
	}
	c := &HTTP{silence: silence, pooled: newTransport(), fresh: newTransport()}
	c.fresh.DisableKeepAlives = true
	return c
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerEngine,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// A waiting stream holds both buffers; bodies pass the write buffer by.
		ReadBufferSize:  streamBufferBytes,
		WriteBufferSize: streamBufferBytes,
	}
}

// Close closes idle connections.
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
	body := &countingBody{Reader: bytes.NewReader(req.Body)}
	httpReq.Body = body
	transport := c.pooled
	if req.NewConnection {
		transport = c.fresh
	}
	s := &httpStream{address: address, ctx: ctx, cancel: cancel, silence: c.silence}
	s.watchdog = time.AfterFunc(c.silence, s.onSilence)
	resp, err := transport.RoundTrip(httpReq)
	if err != nil {
		defer s.Close()
		return nil, c.failed(ctx, address, err, body.read.Load())
	}
	ObserveClock(c.Clock, resp.Header)
	if resp.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, refusal(address, resp)
	}
	if err := s.open(resp); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// ObserveClock takes in the clock of a message's sender, if it names one.
func ObserveClock(clock *evlog.Clock, h http.Header) {
	if clock == nil {
		return
	}
	if t, err := evlog.ParseTimestamp(h.Get(HeaderClock)); err == nil {
		clock.Observe(t)
	}
}

// countingBody tells whether any byte of the request can have left. It has no GetBody, so that net/http never sends
// it twice.
type countingBody struct {
	*bytes.Reader
	read atomic.Bool
}

func (b *countingBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}

func (b *countingBody) Close() error { return nil }

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

// failed classifies an error of the transport. sent tells whether a byte of the body can have left.
func (c *HTTP) failed(ctx context.Context, address string, err error, sent bool) error {
	e := &Error{Kind: KindLost, Address: address, Err: err}
	var op *net.OpError
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		e.Kind, e.Err = KindSilent, errSilent
		c.Close() // idle connections to the same engine may be silent too
	case ctx.Err() != nil:
		e.Kind = KindCancelled
	case !sent && errors.As(err, &op) && op.Op == "dial":
		e.Kind = KindUnreachable
	}
	return e
}

// refusal reads the body of an answer other than 200.
func refusal(address string, resp *http.Response) error {
	defer resp.Body.Close()
	e := &Error{Kind: KindProtocol, Address: address, Status: resp.StatusCode}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		e.Kind, e.Err = KindLost, err
		return e
	}
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		e.Err = errors.Newf("status %d without an error body", resp.StatusCode)
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

// control makes one short call. It ends after the silence limit at the latest.
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
		return c.failed(ctx, address, err, false)
	}
	if resp.StatusCode/100 != 2 {
		return refusal(address, resp)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return c.failed(ctx, address, err, true)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Kind: KindProtocol, Address: address, Status: resp.StatusCode, Err: err}
	}
	return nil
}

// JoinGroup gives a helping engine its share of a multi-engine prompt, or renews it. Only engines call it.
func (c *HTTP) JoinGroup(ctx context.Context, address, reservation string, work GroupWork) (GroupStatus, error) {
	var out GroupStatus
	err := c.control(ctx, address, http.MethodPut, PathGroup+url.PathEscape(reservation), work, &out)
	return out, err
}

// LeaveGroup ends a helping engine's share and frees its reservation. Only engines call it.
func (c *HTTP) LeaveGroup(ctx context.Context, address, reservation string) error {
	path := PathGroup + url.PathEscape(reservation)
	return ignoreNotFound(c.control(ctx, address, http.MethodDelete, path, nil, nil))
}
