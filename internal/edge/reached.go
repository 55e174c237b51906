package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/gen/carobstile/v1/carobstilev1connect"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/reach"
	"github.com/carobstile/carobstile/internal/upstream"
)

const (
	// askedPerDomain is the number of daemons that are asked in the own failure domain and in others; a cut can take a whole domain.
	askedPerDomain = 2
	// askTimeout bounds a question. A daemon that is asked answers from memory.
	askTimeout = 300 * time.Millisecond
	// answerTTL is how long the answer of a daemon shows that it takes requests.
	answerTTL = 2 * core.Second
	// healthProbeTimeout leaves time for one retransmission of a packet and for a free slot of the server.
	healthProbeTimeout = 600 * time.Millisecond
	// A daemon probes at most probesForOthers servers each probeForOthersInterval to answer questions.
	probesForOthers        = 4
	probeForOthersInterval = 500 * core.Millisecond
	// probeMemory is how long the answer to such a probe is remembered.
	probeMemory = 10 * core.Second
)

// ask asks some daemons which of the servers they reach. It does not wait for the answers.
func (r *relays) ask(ctx context.Context, servers []string) {
	for _, m := range chooseAsked(r.d.link.Members(), r.d.settings.Name, r.d.settings.FailureDomain) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			client := carobstilev1connect.NewEdgeServiceClient(fetchClient, "http://"+m.GetServiceAddress())
			resp, err := client.Reached(ctx, connect.NewRequest(&carobstilev1.ReachedRequest{Servers: servers}))
			if err != nil {
				r.d.log.Debug("daemon does not say which servers it reaches", "daemon", m.GetName(), "err", err)
				return
			}
			r.learn(m.GetName(), resp.Msg)
		}()
	}
}

// chooseAsked returns random daemons in the own failure domain and in others.
func chooseAsked(members []*carobstilev1.EdgeMember, self, domain string) []*carobstilev1.EdgeMember {
	var own, others []*carobstilev1.EdgeMember
	for _, i := range rand.Perm(len(members)) {
		switch m := members[i]; {
		case m.GetName() == self || m.GetLeaving():
		case m.GetFailureDomain() == domain:
			own = append(own, m)
		default:
			others = append(others, m)
		}
	}
	fromOwn := min(len(own), max(askedPerDomain, 2*askedPerDomain-len(others)))
	return slices.Concat(own[:fromOwn], others[:min(len(others), 2*askedPerDomain-fromOwn)])
}

// learn applies the answer of a daemon.
func (r *relays) learn(name string, m *carobstilev1.ReachedResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.d.now()
	r.peers[name] = relayPeer{cutOff: m.GetCutOff(), config: m.GetConfigVersion(), answeredAt: now}
	for _, s := range m.GetReached() {
		r.view.PeerReached(now-max(0, core.Micros(s.GetAgeMicros())), s.GetServer())
	}
}

// Reached implements carobstilev1connect.EdgeServiceHandler.
func (s peerService) Reached(
	_ context.Context, req *connect.Request[carobstilev1.ReachedRequest],
) (*connect.Response[carobstilev1.ReachedResponse], error) {
	out := &carobstilev1.ReachedResponse{CutOff: s.d.relays.CutOff()}
	if table := s.d.table.Load(); table != nil {
		out.ConfigVersion = table.Version
	}
	if !out.CutOff {
		out.Reached = s.d.relays.reached(req.Msg.GetServers())
	}
	return connect.NewResponse(out), nil
}

// reached returns which servers have answered this daemon. It probes some of those that have not done so lately, so that it knows more when it
// is asked again: a daemon with few requests tries few servers.
func (r *relays) reached(servers []string) []*carobstilev1.EdgeReached {
	var out []*carobstilev1.EdgeReached
	var unknown []string
	r.mu.Lock()
	now := r.d.now()
	for _, id := range servers {
		at, listed := r.view.AnsweredAt(id)
		if !listed {
			at = r.answeredProbes[id]
		}
		if at > 0 {
			out = append(out, &carobstilev1.EdgeReached{Server: id, AgeMicros: int64(now - at)})
		}
		if at == 0 || now-at >= probeForOthersInterval {
			unknown = append(unknown, id)
		}
	}
	if now-r.probedForOthersAt < probeForOthersInterval {
		unknown = nil
	} else {
		r.probedForOthersAt = now
		maps.DeleteFunc(r.answeredProbes, func(_ string, at core.Micros) bool { return now-at > probeMemory })
	}
	r.mu.Unlock()
	for _, id := range unknown[:min(probesForOthers, len(unknown))] {
		go r.probe(context.Background(), id)
	}
	return out
}

// probe makes a call to a server over a connection of its own, to see whether there is a way to it.
func (r *relays) probe(ctx context.Context, id string) {
	s, ok := r.d.serverByID(id)
	if !ok || s.Leaving || r.d.scheduler.Declines(s.Process()) {
		return
	}
	path, timeout, ok := r.d.probeTarget(s)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.d.adapter.Engines.Probe(ctx, s.Address, path)
	r.with(func(now core.Micros, v *reach.View) {
		if err != nil {
			v.Failed(now, id, !errors.Is(err, upstream.ErrNotSent))
			return
		}
		v.Opened(now, id)
		v.Answered(now, id)
		if _, listed := v.AnsweredAt(id); !listed {
			r.answeredProbes[id] = now
		}
	})
}

// probeTarget returns the path by which a server is probed, "" for the report of an engine, and how long the probe may take. It returns
// false if the server has none.
func (d *Daemon) probeTarget(s dispatch.Server) (path string, timeout time.Duration, ok bool) {
	table := d.table.Load()
	if table == nil {
		return "", 0, false
	}
	service := table.Service(s.Service)
	switch {
	case service == nil:
		return "", 0, false
	case service.Engine != nil:
		return "", reportTimeout, true
	default:
		return service.HealthPath, healthProbeTimeout, strings.HasPrefix(service.HealthPath, "/")
	}
}
