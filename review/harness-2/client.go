package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a request of a caller.
type call struct {
	edge, method, path, key string
	body                    string
	deadline                time.Duration
	header                  string
}

// outcome is what a caller sees.
type outcome struct {
	id     string
	status int // 0 if the connection ended without an answer
	stamp  string
	header http.Header
	body   string
	// whole is set if the body is complete.
	whole bool
	took  time.Duration
	err   error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the request line and headers.
func (q call) head(id string) string {
	out := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: school.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s",
		q.method, q.path, id, q.deadline.Milliseconds(), q.key, q.header)
	if q.method != http.MethodGet {
		out += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return out + "\r\n"
}

// send sends a request on a connection of its own and reads the answer.
func (q call) send() outcome {
	c, err := net.DialTimeout("tcp", q.edge, time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer c.Close()
	id := newID()
	start := time.Now()
	_ = c.SetDeadline(start.Add(q.deadline + time.Second))
	if _, err := io.WriteString(c, q.head(id)+q.body); err != nil {
		return outcome{id: id, err: err}
	}
	out := readAnswer(c, q.method)
	out.id, out.took = id, time.Since(start)
	return out
}

func readAnswer(c net.Conn, method string) outcome {
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return outcome{
		status: resp.StatusCode, stamp: resp.Header.Get("X-Stamp"), header: resp.Header, body: strings.TrimSpace(string(body)),
		whole: err == nil, err: err,
	}
}
