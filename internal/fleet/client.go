// Package fleet queries the admin addresses of daemons for their status and metrics, for carobctl and carobconsole.
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
	// callTimeout bounds one call; a daemon responds from memory, in milliseconds. A survey takes as long as its slowest
	// call, and one paused daemon must not use up the time that an apply waits for the daemons.
	callTimeout = 1 * time.Second
	// maxParallelCalls bounds the concurrent calls of one survey.
	maxParallelCalls = 32
	// maxStatusBytes bounds one response; 360 members and the engines of a few pools take under 100 KB.
	maxStatusBytes = 4 << 20
)

// Client queries daemons. It is safe for concurrent use.
type Client struct {
	// Addresses are the admin addresses (IP:port) that every survey queries.
	Addresses []string
	// AdminPort, unless 0, is the port of every member's admin address; the IP is that of its peer address. A survey then
	// also queries the members that the daemons at Addresses report.
	AdminPort int
	http      *http.Client
}

// NewClient returns a client for the given admin addresses.
func NewClient(addresses []string, adminPort int) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	return &Client{Addresses: addresses, AdminPort: adminPort, http: &http.Client{Transport: transport}}
}

// Daemon is the result of a survey for one daemon.
type Daemon struct {
	Name string
	// AdminAddress is the admin address that was queried; empty if none is known.
	AdminAddress string
	// Member is the membership entry; nil if no daemon reported one.
	Member *pb.Member
	// Status is the daemon's status response; nil if there is none, and then Error gives the reason.
	Status *pb.StatusResponse
	Error  string
}

// Expected reports whether the daemon should apply the configuration: it has no membership entry and was queried at a
// configured address, or it is an alive or suspect member.
func (d *Daemon) Expected() bool {
	if d.Member == nil {
		return true
	}
	state := d.Member.GetState()
	return state == pb.MemberState_MEMBER_STATE_ALIVE || state == pb.MemberState_MEMBER_STATE_SUSPECT
}

// Generation returns the configuration generation that the daemon has applied; 0 if there is none or it is unknown.
func (d *Daemon) Generation() uint64 { return d.Status.GetGeneration() }

// Survey queries all known daemons and returns them sorted by failure domain and name.
func (c *Client) Survey(ctx context.Context) []Daemon {
	s := &survey{client: c, queried: map[string]*Daemon{}}
	s.query(ctx, c.Addresses)
	if c.AdminPort > 0 {
		s.query(ctx, s.unqueriedAddresses())
	}
	return s.result()
}

// Outdated returns the expected daemons that have an older generation or did not respond.
func Outdated(daemons []Daemon, generation uint64) []Daemon {
	var out []Daemon
	for _, d := range daemons {
		if d.Expected() && d.Generation() < generation {
			out = append(out, d)
		}
	}
	return out
}

// survey holds the state of one Survey call. queried is keyed by admin address.
type survey struct {
	client  *Client
	mu      sync.Mutex
	queried map[string]*Daemon
}

func (s *survey) query(ctx context.Context, addresses []string) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, address := range addresses {
		group.Go(func() error {
			d := &Daemon{Name: address, AdminAddress: address}
			status, err := s.client.Status(ctx, address)
			if err != nil {
				d.Error = err.Error()
			} else {
				d.Status, d.Name, d.Member = status, status.GetSelf().GetName(), status.GetSelf()
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.queried[address] = d
			return nil
		})
	}
	_ = group.Wait() // each call records its error in the Daemon
}

// members returns the newest entry of each member in any status response.
func (s *survey) members() map[string]*pb.Member {
	out := map[string]*pb.Member{}
	for _, d := range s.queried {
		for _, m := range d.Status.GetMembers() {
			if known := out[m.GetName()]; known == nil || newer(m, known) {
				out[m.GetName()] = m
			}
		}
	}
	return out
}

// newer reports whether a takes precedence over b under the rules of membership updates: a higher incarnation, then a
// later state.
func newer(a, b *pb.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetState() > b.GetState()
}

// unqueriedAddresses returns the admin addresses not yet queried of members that are not dead and have not responded.
func (s *survey) unqueriedAddresses() []string {
	responded := map[string]bool{}
	for _, d := range s.queried {
		responded[d.Status.GetSelf().GetName()] = true
	}
	var out []string
	for _, m := range s.members() {
		if responded[m.GetName()] || m.GetState() == pb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		address := s.client.adminAddress(m)
		if _, ok := s.queried[address]; !ok && address != "" {
			out = append(out, address)
		}
	}
	return out
}

// adminAddress returns the admin address of a member, or "" if AdminPort is 0 or the peer address is invalid.
func (c *Client) adminAddress(m *pb.Member) string {
	peer, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || c.AdminPort == 0 {
		return ""
	}
	return net.JoinHostPort(peer.Addr().String(), strconv.Itoa(c.AdminPort))
}

// result joins the queried daemons with the membership entries by name.
func (s *survey) result() []Daemon {
	members := s.members()
	var out []Daemon
	included := map[string]bool{}
	byAddress := map[string]*pb.Member{}
	for _, m := range members {
		byAddress[s.client.adminAddress(m)] = m
	}
	s.nameUnresponsive(byAddress)
	for _, d := range s.queried {
		included[d.Name] = true
		out = append(out, *d)
	}
	for name, m := range members {
		if !included[name] {
			out = append(out, Daemon{Name: name, Member: m, Error: "no admin address known"})
		}
	}
	slices.SortFunc(out, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(a.Member.GetFailureDomain(), b.Member.GetFailureDomain()), cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.AdminAddress, b.AdminAddress))
	})
	return out
}

// nameUnresponsive gives daemons that did not respond the name and entry of their member, so that none is listed both by
// address and by name. The member is the one with that admin address. Otherwise, if an IP has exactly one unresponsive
// address and one unresponsive member, they are taken for the same daemon.
func (s *survey) nameUnresponsive(byAddress map[string]*pb.Member) {
	unresponsive := map[string][]*Daemon{}
	members := s.unresponsiveMembers()
	for address, d := range s.queried {
		if d.Status != nil {
			continue
		}
		if m := byAddress[address]; m != nil {
			d.Name, d.Member = m.GetName(), m
			ip := ipOf(m.GetAddress())
			members[ip] = slices.DeleteFunc(members[ip], func(other *pb.Member) bool { return other == m })
			continue
		}
		unresponsive[ipOf(address)] = append(unresponsive[ipOf(address)], d)
	}
	for ip, daemons := range unresponsive {
		if len(daemons) == 1 && len(members[ip]) == 1 {
			daemons[0].Name, daemons[0].Member = members[ip][0].GetName(), members[ip][0]
		}
	}
}

// unresponsiveMembers returns the members that did not respond, by the IP of their peer address. Dead members are left
// out, since a replacement host often takes over the IP of a dead one.
func (s *survey) unresponsiveMembers() map[string][]*pb.Member {
	responded := map[string]bool{}
	for _, d := range s.queried {
		responded[d.Status.GetSelf().GetName()] = true
	}
	out := map[string][]*pb.Member{}
	for _, m := range s.members() {
		if ip := ipOf(m.GetAddress()); !responded[m.GetName()] && m.GetState() != pb.MemberState_MEMBER_STATE_DEAD {
			out[ip] = append(out[ip], m)
		}
	}
	return out
}

func ipOf(address string) string {
	ip, _, _ := net.SplitHostPort(address) // "" for an address without a port
	return ip
}

// Status returns a daemon's response on /status.
func (c *Client) Status(ctx context.Context, address string) (*pb.StatusResponse, error) {
	data, err := c.get(ctx, address, "/status")
	if err != nil {
		return nil, err
	}
	status := &pb.StatusResponse{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, status); err != nil {
		return nil, errors.Wrapf(err, "decode status of daemon at %s", address)
	}
	return status, nil
}

func (c *Client) get(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
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
