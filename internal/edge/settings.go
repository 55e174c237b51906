// Package edge wires the parts of carobedge, the daemon that forwards requests on a shared platform: directory of the
// platform's store, dispatch, neighbours, forwarding, readiness and planned stops. It reaches the platform only through
// the interfaces in adapter.go.
package edge

import (
	"runtime/debug"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/retrybudget"
	"github.com/carobstile/carobstile/internal/settings"
)

// Settings of carobedge.
type Settings struct {
	// Name of the daemon, unique among all that run.
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress serves callers; ReadyAddress tells the platform whether to send new ones.
	CallerAddress string `json:"callerAddress"`
	ReadyAddress  string `json:"readyAddress"`
	// ServiceAddress serves other daemons over TCP, PacketAddress over UDP.
	ServiceAddress string `json:"serviceAddress"`
	PacketAddress  string `json:"packetAddress"`
	// MetricsAddress serves metrics to operators.
	MetricsAddress string `json:"metricsAddress"`
	// Seeds are service addresses of some other daemons, used when the store cannot be reached at the start.
	Seeds []string `json:"seeds,omitempty"`
	// StoreAddress is the platform's store.
	StoreAddress string `json:"storeAddress"`
	// MemoryMB is the memory of the process, above which the host ends it.
	MemoryMB int `json:"memoryMB"`
	// StopGraceSeconds is the time from the signal to stop until the host ends the process.
	StopGraceSeconds float64 `json:"stopGraceSeconds"`
	// Retry bounds requests that are sent more than once, over all daemons.
	Retry RetrySettings `json:"retry"`
}

// RetrySettings bound repeats of a service's requests: in any window at most Ratio times the requests plus Allowance.
type RetrySettings struct {
	Ratio         float64 `json:"ratio"`
	Allowance     int     `json:"allowance"`
	WindowSeconds float64 `json:"windowSeconds"`
}

// Bounds of the settings.
const (
	minMemoryMB      = 64
	maxMemoryMB      = 1 << 20
	maxGraceSeconds  = 3_600
	maxWindowSeconds = 600
	maxAllowance     = 1_000_000
)

// ProcessName implements app.Named.
func (s *Settings) ProcessName() string { return s.Name }

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) {
	settings.Required(list, "/name", s.Name)
	settings.Required(list, "/failureDomain", s.FailureDomain)
	settings.Address(list, "/callerAddress", s.CallerAddress)
	settings.Address(list, "/readyAddress", s.ReadyAddress)
	settings.Address(list, "/serviceAddress", s.ServiceAddress)
	settings.Address(list, "/packetAddress", s.PacketAddress)
	settings.Address(list, "/metricsAddress", s.MetricsAddress)
	settings.Address(list, "/storeAddress", s.StoreAddress)
	for i, seed := range s.Seeds {
		settings.Address(list, findings.Index("/seeds", i), seed)
	}
	settings.Range(list, "/memoryMB", s.MemoryMB, minMemoryMB, maxMemoryMB)
	if s.StopGraceSeconds <= 0 || s.StopGraceSeconds > maxGraceSeconds {
		list.Add("/stopGraceSeconds", "must be above 0 and at most %d, got %v", maxGraceSeconds, s.StopGraceSeconds)
	}
	if s.Retry.WindowSeconds <= 0 || s.Retry.WindowSeconds > maxWindowSeconds {
		list.Add("/retry/windowSeconds", "must be above 0 and at most %d, got %v", maxWindowSeconds, s.Retry.WindowSeconds)
	}
	settings.Range(list, "/retry/allowance", s.Retry.Allowance, 0, maxAllowance)
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		list.Add("/retry/ratio", "must be from 0 to 1, got %v", s.Retry.Ratio)
	}
}

func (s *Settings) stopGrace() time.Duration { return seconds(s.StopGraceSeconds) }

// memoryShare is the share of the host's memory at which the garbage collector works harder; bytes that are received and
// not yet read count as well.
const memoryShare = 0.6

func (s *Settings) limitMemory() { debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare)) }

func (r RetrySettings) limits() retrybudget.Limits {
	return retrybudget.Limits{Ratio: r.Ratio, Allowance: r.Allowance, Window: core.Span(seconds(r.WindowSeconds))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
