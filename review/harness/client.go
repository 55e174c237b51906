package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one attempt of a requester.
type call struct {
	id, path string
	body     string
	headers  []string
	timeout  time.Duration
}

// answer is what a requester got.
type answer struct {
	id     string
	daemon string
	sent   time.Time
	took   time.Duration
	// status is 0 if the channel ended without a response header.
	status int
	stamp  string
	body   string
	// kept is set if the channel had served a request before.
	kept bool
	// whole is set if the response was complete.
	whole bool
	err   error
}

// client is a requester with one channel, which it keeps.
type client struct {
	env    *env
	daemon *daemon
	conn   net.Conn
	reader *bufio.Reader
	// link bounds the rate of the channel; nil for none.
	link *link
}

// chunkBytes is the unit in which a request is sent over a link.
const chunkBytes = 64 << 10

// write sends the bytes of a request.
func (c *client) write(data []byte) error {
	if c.link == nil {
		_, err := c.conn.Write(data)
		return err
	}
	for len(data) > 0 {
		n := min(len(data), chunkBytes)
		c.link.wait(n)
		if _, err := c.conn.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads the whole answer. It never sends a request twice.
func (c *client) do(q call) answer {
	out := answer{id: q.id, daemon: c.daemon.name, sent: time.Now()}
	c.env.record("sent     %s to %s %s", q.id, c.daemon.name, q.path)
	defer func() {
		out.took = time.Since(out.sent)
		c.env.record("answered %s status %d whole %t after %d ms (%v)", q.id, out.status, out.whole, out.took.Milliseconds(), out.err)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.daemon.caller, time.Second)
		if err != nil {
			out.err = err
			return out
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.timeout + 2*time.Second))
	var text bytes.Buffer
	method := http.MethodPost
	if q.body == "" {
		method = http.MethodGet
	}
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		method, q.path, q.id, q.timeout.Milliseconds(), apiKey)
	for _, h := range q.headers {
		text.WriteString(h + "\r\n")
	}
	if q.body != "" {
		text.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	text.WriteString("\r\n" + q.body)
	if err := c.write(text.Bytes()); err != nil {
		c.close()
		out.err = err
		return out
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		out.err = err
		return out
	}
	out.status, out.stamp = resp.StatusCode, resp.Header.Get("X-Stamp")
	body, err := io.ReadAll(resp.Body)
	out.body, out.whole, out.err = string(body), err == nil, err
	if err != nil || resp.Close {
		c.close()
	}
	return out
}

// isWholeAnswer reports whether a success is the server's whole answer to the request.
func (a answer) isWholeAnswer() bool {
	return a.whole && a.status == http.StatusOK && a.stamp != "" && strings.Contains(a.body, a.id)
}
