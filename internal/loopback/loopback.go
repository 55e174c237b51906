// Package loopback allocates ports of the loopback interface for processes that tests and soak runs start. The ranges do
// not overlap, since packages are tested in parallel, and lie below the kernel's ephemeral ports and outside the ports of
// development deployments (18000 to 18999).
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Range allocates the ports in [first, end) in rotation: within one process, a port is reused only after the whole range
// has been tried.
type Range struct {
	first, end int

	mu   sync.Mutex
	next int
}

// Port ranges by the package that uses them.
var (
	EndToEnd = newRange(12_000, 17_900)
	Hostile  = newRange(19_000, 20_000)
	Platform = newRange(20_000, 28_000)
	Soak     = newRange(28_000, 32_000)
)

// newRange derives the first offset from the process id, so that concurrent processes seldom try the same ports.
func newRange(first, end int) *Range {
	const stride = 97 // spreads consecutive process ids over the range
	return &Range{first: first, end: end, next: os.Getpid() * stride % (end - first)}
}

// Addresses returns n addresses on which no process listens.
func (r *Range) Addresses(n int) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, n)
	for attempts := 0; len(out) < n; attempts++ {
		if attempts == r.end-r.first {
			return nil, errors.Newf("no %d free ports from %d to %d", n, r.first, r.end)
		}
		port := r.first + r.next
		r.next = (r.next + 1) % (r.end - r.first)
		if isFree(port) {
			out = append(out, address(port))
		}
	}
	return out, nil
}

// Block returns the first of n consecutive ports on which no process listens. Blocks of the same size do not overlap.
func (r *Range) Block(n int) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	blocks := (r.end - r.first) / n
	for range blocks {
		base := r.first + r.next%blocks*n
		r.next++
		if allFree(base, n) {
			return base, nil
		}
	}
	return 0, errors.Newf("no %d consecutive free ports from %d to %d", n, r.first, r.end)
}

func allFree(base, n int) bool {
	for port := base; port < base+n; port++ {
		if !isFree(port) {
			return false
		}
	}
	return true
}

func isFree(port int) bool {
	l, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	_ = l.Close() // no connection was accepted
	return true
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
