// Package edge implements carobedge, the daemon that forwards requests on a shared platform. It connects the copy of
// the platform's store, dispatch, neighbours, forwarding, readiness and planned stops, and accesses the platform only
// through the interfaces in adapter.go.
package edge

import (
	"runtime/debug"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/retrybudget"
	"github.com/carobstile/carobstile/internal/settings"
)

// Settings of carobedge.
type Settings struct {
	// Name of the daemon, unique in the deployment.
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress serves callers. ReadyAddress serves the platform's readiness check.
	CallerAddress string `json:"callerAddress"`
	ReadyAddress  string `json:"readyAddress"`
	// ServiceAddress serves other daemons over TCP, PacketAddress over UDP.
	ServiceAddress string `json:"serviceAddress"`
	PacketAddress  string `json:"packetAddress"`
	// MetricsAddress serves metrics and explanations to operators.
	MetricsAddress string `json:"metricsAddress"`
	// OperatorKey is the bearer key that explanations require; empty means none. Metrics require no key.
	OperatorKey string `json:"operatorKey,omitempty"`
	// Seeds are service addresses of other daemons. A starting daemon gets the list of daemons from one of them, and
	// copies of the store's objects if the store cannot be reached.
	Seeds []string `json:"seeds,omitempty"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"storeAddress"`
	// MemoryMB is the memory above which the host kills the process.
	MemoryMB int `json:"memoryMB"`
	// StopGraceSeconds is the time between the stop signal and the host killing the process.
	StopGraceSeconds float64 `json:"stopGraceSeconds"`
	// DrainNoticeMS is how long a server that has said in its entry that it is leaving still takes new requests, in milliseconds;
	// 0 means defaultDrainNotice.
	DrainNoticeMS float64 `json:"drainNoticeMS,omitempty"`
	// EvacuationBoundMS is the time within which an evacuation of a failure domain takes effect, in milliseconds. 0 means that
	// evacuations are not read.
	EvacuationBoundMS float64 `json:"evacuationBoundMS,omitempty"`
	// ConfigBoundMS is the time within which a configuration takes effect at all daemons after the store has acknowledged it, in
	// milliseconds. Daemons then get it from the neighbours that watch it; with 0 each daemon watches it by itself.
	ConfigBoundMS float64 `json:"configBoundMS,omitempty"`
	// DomainLossPerMB is the price of a megabyte between failure domains, as a part of what a short request is worth; 0 means
	// defaultDomainLossPerMB, a negative value that traffic between failure domains is free.
	DomainLossPerMB float64 `json:"domainLossPerMB,omitempty"`
	// MaxFiles is the number of file descriptors that the process may have open; 0 means the limit of the operating system.
	MaxFiles int `json:"maxFiles,omitempty"`
	// FairShares enables shares of workspaces under competition. Without it the weights have no effect.
	FairShares bool `json:"fairShares,omitempty"`
	// WorkspaceWeights are the shares of the workspaces under competition, by name; 1 if missing.
	WorkspaceWeights map[string]float64 `json:"workspaceWeights,omitempty"`
	// Retry bounds the retries of all daemons together.
	Retry RetrySettings `json:"retry"`
}

// RetrySettings bound the retries of a service's requests: in any window at most Ratio times the requests plus
// Allowance.
type RetrySettings struct {
	Ratio         float64 `json:"ratio"`
	Allowance     float64 `json:"allowance"`
	WindowSeconds float64 `json:"windowSeconds"`
}

// Bounds of the settings.
const (
	minMemoryMB      = 64
	maxMemoryMB      = 1 << 20
	maxGraceSeconds  = 3_600
	maxWindowSeconds = 600
	maxAllowance     = 1_000_000
	minDrainNoticeMS = 100
	maxDrainNoticeMS = 3_600_000
	// Bounds of EvacuationBoundMS.
	minEvacuationBoundMS = 500
	maxEvacuationBoundMS = 3_600_000
	// Bounds of ConfigBoundMS. A call to the store, and one more, have to fit into the smallest one.
	minConfigBoundMS    = 500
	maxConfigBoundMS    = 3_600_000
	maxDomainLossPerMB  = 1_000
	minMaxFiles         = 256
	maxMaxFiles         = 1 << 24
	maxWorkspaceWeight  = 1_000
	minOperatorKeyBytes = 16
)

const (
	defaultDrainNotice = 2 * time.Second
	// defaultDomainLossPerMB weighs traffic between failure domains lightly: a short request has a few kilobytes.
	defaultDomainLossPerMB = 0.5
	// stalenessShare is the share of the drain notice after which a daemon that has not heard that its list of servers is
	// current asks the store. The rest is for the call and for requests that have been placed already.
	stalenessShare = 0.6
)

// ProcessName implements app.ProcessNamer.
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
	if s.DrainNoticeMS != 0 {
		settings.Range(list, "/drainNoticeMS", s.DrainNoticeMS, minDrainNoticeMS, maxDrainNoticeMS)
	}
	if s.EvacuationBoundMS != 0 {
		settings.Range(list, "/evacuationBoundMS", s.EvacuationBoundMS, minEvacuationBoundMS, maxEvacuationBoundMS)
	}
	if s.ConfigBoundMS != 0 {
		settings.Range(list, "/configBoundMS", s.ConfigBoundMS, minConfigBoundMS, maxConfigBoundMS)
	}
	if s.DomainLossPerMB < -1 || s.DomainLossPerMB > maxDomainLossPerMB {
		list.Add("/domainLossPerMB", "must be from -1 to %d, got %v", maxDomainLossPerMB, s.DomainLossPerMB)
	}
	if s.MaxFiles != 0 {
		settings.Range(list, "/maxFiles", s.MaxFiles, minMaxFiles, maxMaxFiles)
	}
	if s.OperatorKey != "" && len(s.OperatorKey) < minOperatorKeyBytes {
		list.Add("/operatorKey", "must have at least %d bytes", minOperatorKeyBytes)
	}
	for name, weight := range s.WorkspaceWeights {
		if weight <= 0 || weight > maxWorkspaceWeight {
			list.Add("/workspaceWeights/"+name, "must be above 0 and at most %d, got %v", maxWorkspaceWeight, weight)
		}
	}
	if s.Retry.WindowSeconds <= 0 || s.Retry.WindowSeconds > maxWindowSeconds {
		list.Add("/retry/windowSeconds", "must be above 0 and at most %d, got %v", maxWindowSeconds, s.Retry.WindowSeconds)
	}
	settings.Range(list, "/retry/allowance", s.Retry.Allowance, 0, maxAllowance)
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		list.Add("/retry/ratio", "must be from 0 to 1, got %v", s.Retry.Ratio)
	}
}

func (s *Settings) maxServersStaleness() time.Duration {
	notice := time.Duration(s.DrainNoticeMS * float64(time.Millisecond))
	if notice == 0 {
		notice = defaultDrainNotice
	}
	return time.Duration(float64(notice) * stalenessShare)
}

func (s *Settings) evacuationBound() time.Duration {
	return time.Duration(s.EvacuationBoundMS * float64(time.Millisecond))
}

func (s *Settings) configBound() time.Duration {
	return time.Duration(s.ConfigBoundMS * float64(time.Millisecond))
}

// domainLossPerMB returns the price of a megabyte between failure domains. Without the setting there is one only if the
// configuration states delays between them.
func (s *Settings) domainLossPerMB(delaysStated bool) float64 {
	if s.DomainLossPerMB == 0 && delaysStated {
		return defaultDomainLossPerMB
	}
	return max(0, s.DomainLossPerMB)
}

func (s *Settings) stopGrace() time.Duration { return seconds(s.StopGraceSeconds) }

// gcMemoryShare is the share of MemoryMB used as the soft memory limit of the Go runtime, near which the garbage
// collector works harder. The rest is for bytes that were received and not yet read, which count towards the host's
// limit too.
const gcMemoryShare = 0.6

// bufferMemoryShare is the share of MemoryMB for answers and large events of servers that are held before they are forwarded.
// A buffer that grows takes up to twice as much for a moment.
const bufferMemoryShare = 0.1

func (s *Settings) maxBufferedBytes() int64 {
	return int64(float64(s.MemoryMB<<20) * bufferMemoryShare)
}

const (
	// callerMemoryShare is the share of MemoryMB for request bodies and connections of callers. Together with bufferMemoryShare and
	// about 15 MB of a daemon without load it stays below gcMemoryShare, since the garbage collector needs room.
	callerMemoryShare = 0.35
	// maxReservedBytes and reservedShare bound the part of that memory that is left for small bodies and connections.
	maxReservedBytes = 24 << 20
	reservedShare    = 0.4
)

func (s *Settings) callerBytes() int64 { return int64(float64(s.MemoryMB<<20) * callerMemoryShare) }

func (s *Settings) reservedBytes() int64 {
	return min(maxReservedBytes, int64(float64(s.callerBytes())*reservedShare))
}

func (s *Settings) largeBodyBytes() int64 { return s.callerBytes() - s.reservedBytes() }

func (s *Settings) newBodyBudget(scope tally.Scope) *bodybudget.Budget {
	return bodybudget.New(bodybudget.Options{LargeBytes: s.largeBodyBytes(), ReservedBytes: s.reservedBytes(), Scope: scope})
}

func (s *Settings) applyMemoryLimit() {
	debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * gcMemoryShare))
}

func (r RetrySettings) limits() retrybudget.Limits {
	return retrybudget.Limits{Ratio: r.Ratio, Allowance: r.Allowance, Window: core.FromDuration(seconds(r.WindowSeconds))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
