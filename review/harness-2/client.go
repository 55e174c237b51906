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
}

// outcome is what a caller sees.
type outcome struct {
	id     string
	status int // 0 if the connection ended without a whole answer
	stamp  string
	body   string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the request line and headers.
func (q call) head(id string) string {
	out := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: school.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		q.method, q.path, id, q.deadline.Milliseconds(), q.key)
	if q.method != http.MethodGet {
		out += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return out + "\r\n"
}

// send sends a request on a connection of its own and reads the answer.
func (q call) send() outcome {
	c, err := net.DialTimeout("tcp", q.edge, time.Second)
	if err != nil {
		return outcome{}
	}
	defer c.Close()
	id := newID()
	_ = c.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := io.WriteString(c, q.head(id)+q.body); err != nil {
		return outcome{id: id}
	}
	out := readAnswer(c, q.method)
	out.id = id
	return out
}

func readAnswer(c net.Conn, method string) outcome {
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return outcome{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{}
	}
	return outcome{status: resp.StatusCode, stamp: resp.Header.Get("X-Stamp"), body: strings.TrimSpace(string(body))}
}
