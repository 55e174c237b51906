// Package fleet asks the daemons' admin addresses for their state, for carobctl and carobconsole.
package fleet

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protojson"
)

const (
	// callTimeout bounds one question; a daemon answers from memory, in milliseconds. A round of questions takes as long as
	// its slowest answer, so that one paused daemon must not use up the wait of an apply.
	callTimeout = 1 * time.Second
	// parallelCalls bounds the open questions of one round.
	parallelCalls = 32
	// maxStatusBytes bounds one answer: 360 members and the engines of a few pools take under 100 KB.
	maxStatusBytes = 4 << 20
)

// Client asks daemons. It is safe for concurrent use.
type Client struct {
	// Addresses are the admin addresses (IP:port) that are always asked.
	Addresses []string
	// AdminPort, unless 0, is the port at which every member offers its admin address on the IP of its peer address.
	// Members that the first answers name are then asked too.
	AdminPort int
	http      *http.Client
}

// NewClient returns a client for the given admin addresses.
func NewClient(addresses []string, adminPort int) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	return &Client{Addresses: addresses, AdminPort: adminPort, http: &http.Client{Transport: transport}}
}

// Daemon is what is known of one daemon.
type Daemon struct {
	Name string
	// Admin is the admin address that was asked; empty when none is known.
	Admin string
	// Member is the membership entry; nil when nobody named the daemon.
	Member *pb.Member
	// Status is the daemon's own answer; nil when there is none, and then Problem says why.
	Status  *pb.StatusResponse
	Problem string
}

// Expected reports whether the daemon should follow the configuration: it was named by its settings or is a live
// member.
func (d *Daemon) Expected() bool {
	if d.Member == nil {
		return true
	}
	state := d.Member.GetState()
	return state == pb.MemberState_MEMBER_STATE_ALIVE || state == pb.MemberState_MEMBER_STATE_SUSPECT
}

// Generation returns the generation in force at the daemon; 0 when unknown or none.
func (d *Daemon) Generation() uint64 { return d.Status.GetGeneration() }

// Survey asks all known daemons and returns them sorted by failure domain and name.
func (c *Client) Survey(ctx context.Context) []Daemon {
	s := &survey{client: c, asked: map[string]*Daemon{}}
	s.ask(ctx, c.Addresses)
	if c.AdminPort > 0 {
		s.ask(ctx, s.unasked())
	}
	return s.result()
}

// Behind returns the daemons that should have the generation in force and do not, or did not answer.
func Behind(daemons []Daemon, generation uint64) []Daemon {
	var out []Daemon
	for _, d := range daemons {
		if d.Expected() && d.Generation() < generation {
			out = append(out, d)
		}
	}
	return out
}

// survey is one round of questions.
type survey struct {
	client *Client
	mu     sync.Mutex
	asked  map[string]*Daemon
}

func (s *survey) ask(ctx context.Context, addresses []string) {
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for _, address := range addresses {
		group.Go(func() error {
			d := &Daemon{Name: address, Admin: address}
			status, err := s.client.Status(ctx, address)
			if err != nil {
				d.Problem = err.Error()
			} else {
				d.Status, d.Name, d.Member = status, status.GetSelf().GetName(), status.GetSelf()
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.asked[address] = d
			return nil
		})
	}
	_ = group.Wait() // the questions record their own errors
}

// members returns the newest entry of each member that any answer names.
func (s *survey) members() map[string]*pb.Member {
	out := map[string]*pb.Member{}
	for _, d := range s.asked {
		for _, m := range d.Status.GetMembers() {
			if known := out[m.GetName()]; known == nil || newer(m, known) {
				out[m.GetName()] = m
			}
		}
	}
	return out
}

// newer follows the precedence of membership updates: a higher incarnation, then a later state.
func newer(a, b *pb.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetState() > b.GetState()
}

// unasked returns the admin addresses of the members that have not answered and were not asked there.
func (s *survey) unasked() []string {
	answered := map[string]bool{}
	for _, d := range s.asked {
		answered[d.Status.GetSelf().GetName()] = true
	}
	var out []string
	for _, m := range s.members() {
		if answered[m.GetName()] || m.GetState() == pb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		address := s.client.adminOf(m)
		if _, ok := s.asked[address]; !ok && address != "" {
			out = append(out, address)
		}
	}
	return out
}

func (c *Client) adminOf(m *pb.Member) string {
	peer, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || c.AdminPort == 0 {
		return ""
	}
	return net.JoinHostPort(peer.Addr().String(), strconv.Itoa(c.AdminPort))
}

// result joins answers and membership entries by name.
func (s *survey) result() []Daemon {
	members := s.members()
	var out []Daemon
	seen := map[string]bool{}
	byAddress := map[string]*pb.Member{}
	for _, m := range members {
		byAddress[s.client.adminOf(m)] = m
	}
	s.nameSilent(byAddress)
	for _, d := range s.asked {
		seen[d.Name] = true
		out = append(out, *d)
	}
	for name, m := range members {
		if !seen[name] {
			out = append(out, Daemon{Name: name, Member: m, Problem: "no admin address known"})
		}
	}
	slices.SortFunc(out, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(a.Member.GetFailureDomain(), b.Member.GetFailureDomain()), cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Admin, b.Admin))
	})
	return out
}

// nameSilent gives daemons that did not answer the name of their member, so that none is listed both by its address and by
// its name. The member is the one with that admin address, or the only silent one on the IP of the only silent address.
func (s *survey) nameSilent(byAddress map[string]*pb.Member) {
	silent := map[string][]*Daemon{}
	members := s.silentMembers()
	for address, d := range s.asked {
		if d.Status != nil {
			continue
		}
		if m := byAddress[address]; m != nil {
			d.Name, d.Member = m.GetName(), m
			ip := hostOf(m.GetAddress())
			members[ip] = slices.DeleteFunc(members[ip], func(other *pb.Member) bool { return other == m })
			continue
		}
		silent[hostOf(address)] = append(silent[hostOf(address)], d)
	}
	for ip, daemons := range silent {
		if len(daemons) == 1 && len(members[ip]) == 1 {
			daemons[0].Name, daemons[0].Member = members[ip][0].GetName(), members[ip][0]
		}
	}
}

// silentMembers returns the members without an answer by the IP of their peer address. Dead ones are left out, since a
// replaced host often takes over the IP of a dead one.
func (s *survey) silentMembers() map[string][]*pb.Member {
	answered := map[string]bool{}
	for _, d := range s.asked {
		answered[d.Status.GetSelf().GetName()] = true
	}
	out := map[string][]*pb.Member{}
	for _, m := range s.members() {
		if ip := hostOf(m.GetAddress()); !answered[m.GetName()] && m.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			out[ip] = append(out[ip], m)
		}
	}
	return out
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address) // an address without a port matches none
	return host
}

// Status returns a daemon's answer on /status.
func (c *Client) Status(ctx context.Context, address string) (*pb.StatusResponse, error) {
	data, err := c.get(ctx, address, "/status")
	if err != nil {
		return nil, err
	}
	status := &pb.StatusResponse{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, status); err != nil {
		return nil, errors.Wrapf(err, "status of %s", address)
	}
	return status, nil
}

func (c *Client) get(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("GET http://%s%s: status %d", address, path, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	return data, errors.Wrapf(err, "GET http://%s%s", address, path)
}
