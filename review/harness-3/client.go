package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "site.example"

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5e00_0000_0000+lastID.Add(1)) }

// call is a request of a requester.
type call struct {
	method, path, key string
	deadline          time.Duration
	// tokens is the value of X-Token-Count, events the number of events wanted; "" and 0 for requests that are no prompts.
	tokens string
	events int
	// part, unless empty, is a part of the prompt between the one that all share and its own.
	part string
}

func (c call) partField() string {
	if c.part == "" {
		return ""
	}
	return c.part + ":200,"
}

// result is what a requester saw.
type result struct {
	id            string
	status        int
	body          string
	stamped       bool
	complete      bool
	begun         bool // at least a part of the answer arrived
	sent, ended   time.Time
	lastProgress  time.Time
	err           error
	answeredClose bool
}

// channel is a requester's channel to a daemon, kept for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request and reads its answer to the end.
func (ch *channel) send(c call) (out result) {
	out = result{id: newID(), sent: time.Now()}
	defer func() { out.ended = time.Now() }()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		c.method, c.path, host, out.id, c.deadline.Milliseconds(), c.key)
	if c.tokens != "" {
		fmt.Fprintf(&head, "X-Model: m\r\nX-Token-Count: %s\r\nX-Prompt-Prefix: 5c1e07a2:40,%s%s:1000\r\nX-Length-Hint: %d\r\n",
			c.tokens, c.partField(), out.id, c.events*eventTokens)
	}
	if c.method == http.MethodPost {
		head.WriteString("Content-Length: 4\r\n\r\nbody")
	} else {
		head.WriteString("\r\n")
	}
	_ = ch.conn.SetDeadline(out.sent.Add(c.deadline + time.Second)) // fails only on a closed channel, which the write reports
	if _, out.err = io.WriteString(ch.conn, head.String()); out.err != nil {
		return out
	}
	resp, err := http.ReadResponse(ch.reader, &http.Request{Method: c.method})
	if err != nil {
		out.err = err
		return out
	}
	out.begun, out.status, out.stamped = true, resp.StatusCode, resp.Header.Get("X-Stamp") != ""
	out.answeredClose = resp.Close
	var body strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buffer)
		body.Write(buffer[:n])
		if n > 0 {
			out.lastProgress = time.Now()
		}
		if err == io.EOF {
			out.complete = true
			break
		}
		if err != nil {
			out.err = err
			break
		}
	}
	out.body = body.String()
	return out
}

// sendOnce sends a request on a channel of its own.
func sendOnce(address string, c call) result {
	ch, err := dial(address)
	if err != nil {
		return result{id: newID(), err: err, sent: time.Now(), ended: time.Now()}
	}
	defer ch.conn.Close()
	return ch.send(c)
}

func (r result) text() string {
	switch {
	case r.err != nil && !r.begun:
		return fmt.Sprintf("no answer: %v", r.err)
	case r.err != nil:
		return fmt.Sprintf("status %d, broken off after %d bytes: %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, %d bytes, stamped %v", r.status, len(r.body), r.stamped)
}
