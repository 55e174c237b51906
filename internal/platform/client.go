package platform

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
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a call. The platform normally responds within milliseconds, so a call that takes seconds is aborted.
const (
	dialTimeout        = 1 * time.Second
	requestTimeout     = 5 * time.Second
	idleConnTimeout    = 30 * time.Second
	watchTimeoutMargin = 2 * time.Second
	maxIdleConns       = 8
	maxErrorBytes      = 4 << 10
	maxResponseBytes   = 64 << 20
)

// Client implements Store over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the object API at address, an IP address and port.
func NewClient(address string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	return object, c.call(ctx, http.MethodGet, objectPath(kind, name), nil, nil, &object)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte) (uint64, error) {
	var object Object
	err := c.call(ctx, http.MethodPut, objectPath(kind, name), nil, value, &object)
	return object.Version, err
}

// PutIf implements Store.
func (c *Client) PutIf(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	var object Object
	err := c.call(ctx, http.MethodPut, objectPath(kind, name), versionCondition(ifVersion), value, &object)
	return object.Version, err
}

// DeleteIf implements Store.
func (c *Client) DeleteIf(ctx context.Context, kind, name string, ifVersion uint64) error {
	return c.call(ctx, http.MethodDelete, objectPath(kind, name), versionCondition(ifVersion), nil, nil)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	var out []Object
	query := url.Values{"prefix": {prefix}}
	return out, c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(kind), query, nil, &out)
}

// WatchAfter implements Store.
func (c *Client) WatchAfter(ctx context.Context, kind, prefix string, revision uint64, timeout time.Duration) (Watch, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(revision, 10)},
		"timeout-ms": {strconv.FormatInt(timeout.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+watchTimeoutMargin)
	defer cancel()
	var out Watch
	return out, c.send(ctx, http.MethodGet, "/v1/watch/"+url.PathEscape(kind), query, nil, &out)
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context, state HostState) ([]Host, error) {
	var out []Host
	query := url.Values{"state": {string(state)}}
	return out, c.call(ctx, http.MethodGet, "/v1/hosts", query, nil, &out)
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func versionCondition(version uint64) url.Values {
	return url.Values{"if-version": {strconv.FormatUint(version, 10)}}
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return c.send(ctx, method, path, query, body, out)
}

func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(method, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(method, path, resp)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return lostResponseError(method, path, err)
	}
	return nil
}

// transportError distinguishes a call that failed to connect, and so had no effect, from one whose response was lost.
func transportError(method, path string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrapf(ErrRejected, "%s %s: %v", method, path, err)
	}
	return lostResponseError(method, path, err)
}

// lostResponseError wraps the error of a call without a usable response: ErrRejected for a read, which has no effect,
// and ErrUnknown for a write, which may have taken effect.
func lostResponseError(method, path string, err error) error {
	if method == http.MethodGet {
		return errors.Wrapf(ErrRejected, "%s %s: %v", method, path, err)
	}
	return errors.Wrapf(ErrUnknown, "%s %s: %v", method, path, err)
}

func statusError(method, path string, resp *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return lostResponseError(method, path, err)
	}
	detail := fmt.Sprintf("%s %s: status %d: %s", method, path, resp.StatusCode, bytes.TrimSpace(text))
	switch resp.StatusCode {
	case http.StatusNotFound:
		return errors.Wrap(ErrNotFound, detail)
	case http.StatusConflict:
		return errors.Wrap(ErrConflict, detail)
	case http.StatusRequestEntityTooLarge:
		return errors.Wrap(ErrTooLarge, detail)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.Wrap(ErrRejected, detail)
	default:
		return lostResponseError(method, path, errors.Newf("status %d", resp.StatusCode))
	}
}
