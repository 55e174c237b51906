// Package loopback hands out ports of the loopback interface to processes that tests and the soak start. The ranges do not
// overlap, since packages are tested side by side, and lie below the ports that the kernel gives to outgoing connections
// and outside those of development deployments (18000 to 18999).
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Range hands out ports from first to below last, each to one caller of this process until all have had their turn.
type Range struct {
	first, last int

	mu   sync.Mutex
	next int
}

// Ranges of ports by their user.
var (
	EndToEnd = newRange(12_000, 17_900)
	Platform = newRange(20_000, 28_000)
	Soak     = newRange(28_000, 32_000)
)

// newRange starts at a place of its own in every process, so that processes side by side seldom try the same ports.
func newRange(first, last int) *Range {
	const stride = 97 // spreads neighbouring process ids
	return &Range{first: first, last: last, next: os.Getpid() * stride % (last - first)}
}

// Addresses returns n addresses that nothing listens at.
func (r *Range) Addresses(n int) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, n)
	for tried := 0; len(out) < n; tried++ {
		if tried == r.last-r.first {
			return nil, errors.Newf("no %d free ports from %d to %d", n, r.first, r.last)
		}
		port := r.first + r.next
		r.next = (r.next + 1) % (r.last - r.first)
		if free(port) {
			out = append(out, address(port))
		}
	}
	return out, nil
}

// Block returns the first of n consecutive ports that nothing listens at. Blocks of one size do not overlap.
func (r *Range) Block(n int) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	blocks := (r.last - r.first) / n
	for range blocks {
		base := r.first + r.next%blocks*n
		r.next++
		if allFree(base, n) {
			return base, nil
		}
	}
	return 0, errors.Newf("no %d consecutive free ports from %d to %d", n, r.first, r.last)
}

func allFree(base, n int) bool {
	for port := base; port < base+n; port++ {
		if !free(port) {
			return false
		}
	}
	return true
}

func free(port int) bool {
	l, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	_ = l.Close() // nothing was accepted
	return true
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
