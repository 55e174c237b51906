package soak

import (
	"bufio"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Variants of DaemonsCut: the connections of the daemons to servers are silent, are reset, or live on while new ones are reset.
const (
	cutSilent     = "silent"
	cutRefused    = "refused"
	cutRefusedNew = "refused-new"
)

// Bounds of the check of cut-off daemons, from the platform's rules.
const (
	minCutServedRatio = 2.0 / 3
	cutFailureSlack   = 10
	cutFailureShare   = 0.02
	minCutRequests    = 20
)

// cut is a period in which daemons are cut off from all servers.
type cut struct {
	daemons  map[int]bool
	from, to time.Time
}

// cutDaemons cuts two thirds of the daemons, from the given one on, off from all servers.
func (inj *injector) cutDaemons(first int, f Fault) {
	n := len(inj.cluster.daemons)
	c := &cut{daemons: map[int]bool{}, from: time.Now()}
	for i := range max(1, (n-1)*2/3) {
		c.daemons[(first+i)%n] = true
	}
	o := &owners{scanned: make(chan struct{})}
	done := make(chan struct{})
	defer close(done)
	go o.run(inj.cluster.daemons, done)
	var known sync.Map // owners by connection
	cutOff := func(client net.Conn) bool {
		owner, ok := known.Load(client)
		if !ok {
			owner, _ = known.LoadOrStore(client, o.of(client))
		}
		return c.daemons[owner.(int)]
	}
	for _, b := range inj.cluster.backends {
		b.link.setCut(f.Variant, cutOff)
	}
	time.Sleep(milliseconds(f.ForMs))
	c.to = time.Now()
	for _, b := range inj.cluster.backends {
		b.link.setCut("", nil)
	}
	inj.checker.checkCut(c)
}

// checkCut checks that callers of daemons that were cut off from the servers were served about as those of the others, from settleTime after
// the cut on.
func (c *checker) checkCut(cut *cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := cut.from.Add(settleTime)
	var sent, served [2]int // at cut-off daemons, and at others
	for _, r := range c.requests {
		if r.sent.Before(from) || r.ended.IsZero() || r.ended.After(cut.to) || r.dynamicName != "" || r.deadlyPart != "" ||
			!c.daemonUndisturbed(r.daemon, r.sent, r.ended) {
			continue
		}
		group := 1
		if cut.daemons[r.daemon] {
			group = 0
		}
		sent[group]++
		if r.err == nil && r.status >= 200 && r.status < 300 {
			served[group]++
		}
	}
	if sent[0] < minCutRequests || sent[1] < minCutRequests {
		return
	}
	failed := float64(sent[0] - served[0])
	if share := float64(served[0]) / float64(sent[0]); share < minCutServedRatio*float64(served[1])/float64(sent[1]) &&
		failed > cutFailureSlack+cutFailureShare*float64(sent[0]+sent[1]) {
		c.addViolation("RECOVER", "", "daemons that were cut off from the servers served %d of %d requests, the others %d of %d",
			served[0], sent[0], served[1], sent[1])
	}
}

// ownerScanInterval is how often the owners of connections are looked up, for all at once: the kernel's tables are long.
const ownerScanInterval = 100 * time.Millisecond

// owners knows which daemon's process has the other end of a connection, while daemons are cut off.
type owners struct {
	mu     sync.Mutex
	byPort map[int]int
	// scanned is closed at the end of the next scan that begins after now.
	scanned chan struct{}
}

// run looks the owners up until done is closed.
func (o *owners) run(daemons []*daemon, done <-chan struct{}) {
	for {
		o.mu.Lock()
		scanned := o.scanned
		o.scanned = make(chan struct{})
		o.mu.Unlock()
		byPort := scanOwners(daemons)
		o.mu.Lock()
		o.byPort = byPort
		o.mu.Unlock()
		close(scanned)
		select {
		case <-done:
			return
		case <-time.After(ownerScanInterval):
		}
	}
}

// of returns the index of the daemon that has the other end of a connection, or -1. It waits for the scan that is running, and the next one.
func (o *owners) of(client net.Conn) int {
	remote, ok := client.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return -1
	}
	for range 2 {
		o.mu.Lock()
		owner, known := o.byPort[remote.Port]
		scanned := o.scanned
		o.mu.Unlock()
		if known {
			return owner
		}
		select {
		case <-scanned:
		case <-time.After(3 * ownerScanInterval):
		}
	}
	return -1
}

// scanOwners returns the index of the daemon for each local TCP port on loopback.
func scanOwners(daemons []*daemon) map[int]int {
	byInode := map[string]int{}
	for i, d := range daemons {
		for _, inode := range d.process.sockets() {
			byInode[inode] = i
		}
	}
	out := map[int]int{}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= 9 {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[1], ":")
		port, err := strconv.ParseInt(hexPort, 16, 32)
		if owner, known := byInode[fields[9]]; known && err == nil {
			out[int(port)] = owner
		}
	}
	return out
}

// sockets returns the inodes of the sockets that the process has open.
func (p *process) sockets() []string {
	p.mu.Lock()
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/fd"
	p.mu.Unlock()
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil // the process has exited
	}
	var out []string
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if inode, isSocket := strings.CutPrefix(target, "socket:["); err == nil && isSocket {
			out = append(out, strings.TrimSuffix(inode, "]"))
		}
	}
	return out
}
