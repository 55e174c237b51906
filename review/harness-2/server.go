package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reply is what a server does with a request. The zero value is the answer of a sound server.
type reply struct {
	// status replaces 200; notRun turns the request away without running it.
	status int
	notRun bool
	// rewrite, if set, changes the bytes of the answer before they are sent.
	rewrite func([]byte) []byte
	// delay is how long the server works.
	delay time.Duration
}

// run is a request that reached a server.
type run struct {
	server, id, tenant, path string
	ran                      bool
	at                       time.Time
	status                   int
}

// server is a stand-in of a backend server. It writes raw HTTP/1.1, so that its bytes can be changed.
type server struct {
	id       string
	born     int64
	events   int
	listener net.Listener
	// decide chooses what to do with the n-th request (from 0).
	decide func(n int, r *http.Request) reply

	mu   sync.Mutex
	seen int
	runs []run
}

func newServer(id string, decide func(n int, r *http.Request) reply) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, born: time.Now().UnixMilli(), events: 5, listener: l, decide: decide}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// entry is the server's entry in the store.
func (s *server) entry(service, zone string, slots int, state string) map[string]any {
	return map[string]any{
		"Service": service, "Addr": s.address(), "Zone": zone, "Version": "1", "Capacity": slots, "State": state,
		"ColdLeftMs": 0, "Seq": 1, "born": s.born,
	}
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.handle(c, r, body) {
			return
		}
	}
}

func (s *server) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Request-Id")
	head := "X-Request-Id: " + id + "\r\n"
	switch {
	case r.URL.Path == "/report":
		return s.write(c, 200, "Content-Type: application/json\r\n", `{"Busy":false,"Seq":0,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":315000,"Handles":0,"pace":1}`, nil)
	case r.URL.Path == "/order":
		return s.write(c, 200, "Content-Type: application/json\r\n", `{"Free":315000}`, nil)
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != s.id:
		return s.write(c, 421, head+"X-Instance: "+s.id+"\r\n", "", nil)
	}
	s.mu.Lock()
	n := s.seen
	s.seen++
	s.mu.Unlock()
	out := s.decide(n, r)
	if out.status == 0 {
		out.status = http.StatusOK
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{
		server: s.id, id: id, tenant: r.Header.Get("X-Tenant"), path: r.URL.Path, ran: !out.notRun, at: time.Now(), status: out.status,
	})
	s.mu.Unlock()
	if out.notRun {
		return s.write(c, out.status, head+"X-Not-Run: 1\r\n", "", nil)
	}
	time.Sleep(out.delay)
	if strings.HasPrefix(r.URL.Path, "/stream/") && out.status == http.StatusOK {
		return s.stream(c, r, head, out.rewrite)
	}
	text := answerText(s.id, id, body)
	return s.write(c, out.status, head+stamp(text), text, out.rewrite)
}

// answerText is the body of the answer of a server to a request.
func answerText(server, id string, body []byte) string {
	return fmt.Sprintf("%s ran %s (%08x)", server, id, crc32.ChecksumIEEE(body))
}

func stamp(text string) string {
	return fmt.Sprintf("X-Stamp: %08x\r\n", crc32.ChecksumIEEE([]byte(text)))
}

func (s *server) write(c net.Conn, status int, header, body string, rewrite func([]byte) []byte) bool {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	data := out.Bytes()
	if rewrite != nil {
		data = rewrite(data)
	}
	_, err := c.Write(data)
	return err == nil
}

func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", n, id, n)
}

// stream sends the events after Last-Event-Id.
func (s *server) stream(c net.Conn, r *http.Request, head string, rewrite func([]byte) []byte) bool {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	id := r.Header.Get("X-Request-Id")
	data := []byte("HTTP/1.1 200 OK\r\n" + head + stamp(id) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	if rewrite != nil {
		data = rewrite(data)
	}
	if _, err := c.Write(data); err != nil {
		return false
	}
	for n := first + 1; n <= s.events; n++ {
		event := eventText(id, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
