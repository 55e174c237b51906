// Package routing holds the part of the configuration that decides how a forwarded request is handled: its route, its
// workspace and the services that may run it. A Table is immutable; each new configuration makes a new Table.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/carobstile/carobstile/internal/enginecost"
)

// RetryMode says whether a request may be sent to a backend server again after an attempt with unknown outcome.
type RetryMode int

const (
	// AtMostOnce is the mode of requests that are not idempotent; they run at most once.
	AtMostOnce RetryMode = iota
	// Idempotent is the mode of requests that may be repeated.
	Idempotent
	// Resumable is the mode of streams that another backend server can resume after the last delivered event.
	Resumable
)

// Repeatable reports whether a request whose outcome is unknown may be sent again.
func (r RetryMode) Repeatable() bool { return r != AtMostOnce }

// String returns the name used in logs and metrics.
func (r RetryMode) String() string {
	switch r {
	case AtMostOnce:
		return "run-once"
	case Idempotent:
		return "idempotent"
	case Resumable:
		return "resumable"
	}
	return "unknown"
}

// Share is the relative weight of a service on a route.
type Share struct {
	Service string
	Weight  int
}

// Route configures how requests on a host and path prefix are handled.
type Route struct {
	Name string
	// Host is compared with the Host header without its port, ignoring case; Prefix begins and ends with a slash.
	Host, Prefix string
	RetryMode    RetryMode
	Stream       bool
	// Timeout limits the whole request. FirstTarget and PauseTarget are latency objectives, not limits: FirstTarget for
	// the answer or its first event, PauseTarget for the pauses between events.
	Timeout, FirstTarget, PauseTarget time.Duration
	// Attempts is the maximum number of backend servers that one request is sent to.
	Attempts int
	// Rank is the priority; 0 is the highest.
	Rank int
	// Public routes need no API key.
	Public   bool
	Services []Share
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is how many connections one server accepts from all daemons together; 0 means no limit.
	MaxConns int
	// HealthPath is the path by which a plain service's server says whether it is healthy; "" if there is none.
	HealthPath string
	// Engine is the cost model of the service's engines, nil for plain services.
	Engine *enginecost.Model
	// Delays are the times between failure domains that the operator has stated.
	Delays []Delay
	// ColdStart is how long a server is cold after its start, and ColdPerSecond the requests a second that it tolerates
	// meanwhile. 0 means that servers are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Delay is the time that a message takes between two failure domains, in either direction.
type Delay struct {
	From, To string
	Delay    time.Duration
}

// Workspace is the owner of a set of API keys.
type Workspace struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route if it is not nil.
	Rank *int
}

// Limits bounds the requests and connections of callers; zero values mean no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a configuration as decoded by the platform adapter.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table indexes one configuration for lookups.
type Table struct {
	Config
	byHost     map[string][]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
}

// NewTable indexes a configuration, which must not be modified afterwards.
func NewTable(c Config) *Table {
	t := &Table{
		Config: c, byHost: map[string][]*Route{}, services: map[string]*Service{}, workspaces: map[string]*Workspace{},
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &c.Routes[i])
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.workspaces[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NeedsKey reports whether the configuration defines workspaces, so that routes that are not public require an API key.
func (t *Table) NeedsKey() bool { return len(t.Workspaces) > 0 }

// Workspace returns the owner of an API key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// Pick selects a service of the route by weight; point is uniformly distributed in [0,1). It returns "" for a route
// without services.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Services {
		total += max(0, s.Weight)
	}
	left := int(point * float64(total))
	for _, s := range r.Services {
		if left < s.Weight {
			return s.Service
		}
		left -= max(0, s.Weight)
	}
	if len(r.Services) > 0 {
		return r.Services[0].Service
	}
	return ""
}
