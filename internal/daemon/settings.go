// Package daemon assembles carobgate, the daemon that runs on every entry host: caller API, pool allocators, membership
// and configuration dissemination.
package daemon

import (
	"encoding/base64"
	"runtime/debug"
	"time"

	"github.com/carobstile/carobstile/internal/alloccore"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/gate"
	"github.com/carobstile/carobstile/internal/peer"
	"github.com/carobstile/carobstile/internal/settings"
)

// Settings are the settings of carobgate.
type Settings struct {
	// Name of the daemon, unique in the deployment. A replacement host gets a new name.
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is the listen address of the caller API, which callers reach through the platform's balancer.
	CallerAddress string `json:"callerAddress"`
	// AdminAddress is the listen address for operators. It serves health, metrics and status.
	AdminAddress string `json:"adminAddress"`
	// PeerAddress is the listen address for other daemons, over TCP and UDP.
	PeerAddress string `json:"peerAddress"`
	// PlatformAddress is the address of the platform's object API.
	PlatformAddress string `json:"platformAddress"`
	// Seeds are peer addresses of some other daemons, contacted at start-up.
	Seeds []string `json:"seeds,omitempty"`
	// ClusterKeys seal membership packets: 32 bytes each, in base64. The first key seals and all keys open, so that a
	// key can be replaced without an interruption.
	ClusterKeys []string `json:"clusterKeys"`
	// CursorKeys seal resume cursors, in the same form.
	CursorKeys []string `json:"cursorKeys"`
	// Credentials authenticate the daemon to other daemons.
	Credentials peer.Credentials `json:"credentials"`
	// StopGraceMs is how long a planned stop waits for open requests; default 300,000.
	StopGraceMs int `json:"stopGraceMs,omitempty"`
	// LameDuckMs is how long a stopping daemon still accepts requests while it reports to the balancer that it is not
	// ready; default 3,000.
	LameDuckMs int `json:"lameDuckMs,omitempty"`
	// PolicyOff names allocator rules to disable, for measurements.
	PolicyOff []string `json:"policyOff,omitempty"`
	// MaxOpenBodyBytes bounds the memory of the request bodies over 64 KB that arrive or are held for open requests; default
	// 268,435,456, which is 64 prompts of a million tokens. A request that would exceed it is refused as overloaded.
	// This memory comes on top of the 128 MB that a daemon needs for control, which include smaller bodies and connections.
	MaxOpenBodyBytes int `json:"maxOpenBodyBytes,omitempty"`
	// MaxFiles is the number of file descriptors that the process may have open, which bounds the connections of callers; 0
	// means the limit of the operating system.
	MaxFiles int `json:"maxFiles,omitempty"`
	// Profiling serves profiles of the process (net/http/pprof) on the admin address; off by default, because a profile
	// shows memory contents and takes CPU.
	Profiling bool `json:"profiling,omitempty"`
}

// Defaults and bounds of the settings.
const (
	defaultStopGraceMs    = 300_000
	defaultLameDuckMs     = 3_000
	maxStopGraceMs        = 3_600_000
	maxOpenBodyBytesBound = 64 << 30
	minMaxFiles           = 256
	maxMaxFiles           = 1 << 24
	keyBytes              = 32
	// controlBytes is the memory that a daemon needs besides large bodies.
	controlBytes = 128 << 20
	// gcMemoryShare is the share of its memory used as the soft memory limit of the Go runtime, near which the garbage collector
	// works harder. The rest is for allocations during a collection.
	gcMemoryShare = 0.85
)

// ProcessName implements app.ProcessNamer.
func (s *Settings) ProcessName() string { return s.Name }

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) {
	settings.Required(list, "/name", s.Name)
	settings.Required(list, "/region", s.Region)
	settings.Required(list, "/failureDomain", s.FailureDomain)
	settings.Address(list, "/callerAddress", s.CallerAddress)
	settings.Address(list, "/adminAddress", s.AdminAddress)
	settings.Address(list, "/peerAddress", s.PeerAddress)
	settings.Address(list, "/platformAddress", s.PlatformAddress)
	for i, seed := range s.Seeds {
		settings.Address(list, findings.Index("/seeds", i), seed)
	}
	checkKeys(list, "/clusterKeys", s.ClusterKeys)
	checkKeys(list, "/cursorKeys", s.CursorKeys)
	if _, _, err := s.Credentials.TLS(); err != nil {
		list.Add("/credentials", "%v", err)
	}
	settings.Range(list, "/stopGraceMs", s.StopGraceMs, 0, maxStopGraceMs)
	settings.Range(list, "/maxOpenBodyBytes", s.MaxOpenBodyBytes, 0, maxOpenBodyBytesBound)
	if s.MaxFiles != 0 {
		settings.Range(list, "/maxFiles", s.MaxFiles, minMaxFiles, maxMaxFiles)
	}
	settings.Range(list, "/lameDuckMs", s.LameDuckMs, 0, maxStopGraceMs)
	if _, err := alloccore.DefaultPolicy().WithRulesDisabled(s.PolicyOff); err != nil {
		list.Add("/policyOff", "%v", err)
	}
}

func checkKeys(list *findings.List, pointer string, keys []string) {
	if len(keys) == 0 {
		list.Add(pointer, "must hold at least one key")
	}
	for i, key := range keys {
		raw, err := base64.StdEncoding.DecodeString(key)
		if err != nil || len(raw) != keyBytes {
			list.Add(findings.Index(pointer, i), "expected %d bytes in base64", keyBytes)
		}
	}
}

func (s *Settings) applyMemoryLimit() {
	bodies := s.MaxOpenBodyBytes
	if bodies == 0 {
		bodies = gate.DefaultMaxOpenBodyBytes
	}
	debug.SetMemoryLimit(int64(float64(controlBytes+bodies) * gcMemoryShare))
}

func (s *Settings) stopGrace() time.Duration {
	return durationOrDefault(s.StopGraceMs, defaultStopGraceMs)
}

func (s *Settings) lameDuck() time.Duration {
	return durationOrDefault(s.LameDuckMs, defaultLameDuckMs)
}

func durationOrDefault(ms, fallback int) time.Duration {
	if ms == 0 {
		ms = fallback
	}
	return time.Duration(ms) * time.Millisecond
}
