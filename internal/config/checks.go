package config

import (
	"net/netip"
	"strings"
)

// Ranges of numbers. The upper bounds are far above any known deployment. They catch values in a wrong unit, such as
// microseconds for milliseconds or bytes for tokens.
const (
	maxDeadlineBoundMs = 24 * 60 * 60 * 1000
	minBodyBytes       = 1 << 10
	maxBodyBytesBound  = 64 << 20
	maxTokensBound     = 10_000_000
	maxKVTokensBound   = 1_000_000_000
	maxRateBound       = 10_000_000
	maxQueueBound      = 100_000
	maxCrashLimit      = 5
	maxPriority        = 9
	maxWeight          = 1_000
	maxConcurrentBound = 100_000
	maxReplicasBound   = 100_000
	maxLoadsBound      = 10_000
	maxModelsBound     = 64
	maxNameBytes       = 64
	keyHashBytes       = 64
)

// name checks that a name is valid and unique among the objects of its kind.
func (v *validator) name(kind, pointer, name string) {
	if !ValidName(name) {
		v.list.Add(pointer+"/name", "name %q must be 1 to %d letters, digits, '.', '_' or '-' and start with a letter"+
			" or digit", name, maxNameBytes)
		return
	}
	v.unique(kind, pointer+"/name", name)
}

// unique records a value of a kind. It reports a repeated value at the pointer of the later occurrence.
func (v *validator) unique(kind, pointer, value string) {
	seen := v.seen[kind]
	if seen == nil {
		seen = map[string]string{}
		v.seen[kind] = seen
	}
	if first, ok := seen[value]; ok {
		v.list.Add(pointer, "%s %q is already used at %s", kind, value, first)
		return
	}
	seen[value] = pointer
}

// ValidName reports whether name is a valid object name. The alphabet is small because names appear in URLs, log lines
// and hash inputs; '/' is excluded because it separates model and adapter.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		c := name[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || strings.IndexByte("._-", c) < 0) {
			return false
		}
	}
	return true
}

// inRange reports a number outside its range and returns whether it lies inside.
func (v *validator) inRange(pointer, field string, value, low, high int) bool {
	if value >= low && value <= high {
		return true
	}
	v.list.Add(pointer+"/"+field, "%s is %d; it must be %d to %d", field, value, low, high)
	return false
}

// optionalInRange is like inRange, but accepts 0, which stands for the default.
func (v *validator) optionalInRange(pointer, field string, value, low, high int) bool {
	return value == 0 || v.inRange(pointer, field, value, low, high)
}

func (v *validator) limits() {
	l, p := v.doc.Limits, "/limits"
	v.optionalInRange(p, "defaultDeadlineMs", l.DefaultDeadlineMs, 1, maxDeadlineBoundMs)
	v.optionalInRange(p, "maxDeadlineMs", l.MaxDeadlineMs, 1, maxDeadlineBoundMs)
	v.optionalInRange(p, "maxBodyBytes", l.MaxBodyBytes, minBodyBytes, maxBodyBytesBound)
	v.optionalInRange(p, "maxOutputTokens", l.MaxOutputTokens, 1, maxTokensBound)
	v.optionalInRange(p, "crashLimit", l.CrashLimit, 1, maxCrashLimit)
	v.optionalInRange(p, "queueLimit", l.QueueLimit, 1, maxQueueBound)
	if v.effectiveLimits.DefaultDeadlineMs > v.effectiveLimits.MaxDeadlineMs {
		v.list.Add(p+"/defaultDeadlineMs", "defaultDeadlineMs of %d is over maxDeadlineMs of %d",
			v.effectiveLimits.DefaultDeadlineMs, v.effectiveLimits.MaxDeadlineMs)
	}
	v.outputFits()
}

// outputFits reports a maxOutputTokens that exceeds the KV memory of every engine.
func (v *validator) outputFits() {
	largest := 0
	for i := range v.doc.BackendServers {
		if s := &v.doc.BackendServers[i]; s.Kind == KindEngine {
			largest = max(largest, s.KVTokens)
		}
	}
	if largest > 0 && v.effectiveLimits.MaxOutputTokens > largest {
		v.list.Add("/limits/maxOutputTokens", "maxOutputTokens of %d is over the %d kvTokens of the largest engine",
			v.effectiveLimits.MaxOutputTokens, largest)
	}
}

func (v *validator) weightStore() {
	w, p := v.doc.WeightStore, "/weightStore"
	v.optionalInRange(p, "loadsPerMinute", w.LoadsPerMinute, 1, maxLoadsBound)
	v.optionalInRange(p, "maxConcurrentLoads", w.MaxConcurrentLoads, 1, maxLoadsBound)
}

func (v *validator) server(pointer string, s *BackendServer) {
	v.name("backend server", pointer, s.Name)
	v.address(pointer+"/address", s.Address)
	v.location(pointer, s)
	switch s.Kind {
	case KindEngine:
		v.engine(pointer, s)
	case KindService:
		v.service(pointer, s)
	default:
		v.list.Add(pointer+"/kind", "kind is %q; it must be %q or %q", s.Kind, KindEngine, KindService)
	}
}

func (v *validator) address(pointer, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		v.list.Add(pointer, "address %q must be the IP address and port of one host, such as 10.0.0.7:8000 or [fd00::7]:8000",
			address)
		return
	}
	v.unique("address", pointer, parsed.String())
}

// location checks region and failure domain. All backend servers of a failure domain must be in one region.
func (v *validator) location(pointer string, s *BackendServer) {
	if !ValidName(s.Region) {
		v.list.Add(pointer+"/region", "region %q is not a valid name", s.Region)
	}
	if !ValidName(s.FailureDomain) {
		v.list.Add(pointer+"/failureDomain", "failureDomain %q is not a valid name", s.FailureDomain)
		return
	}
	region, ok := v.domainRegions[s.FailureDomain]
	if !ok {
		v.domainRegions[s.FailureDomain] = s.Region
		return
	}
	if region != s.Region {
		v.list.Add(pointer+"/region", "failure domain %q is in region %q elsewhere in the document, here in %q",
			s.FailureDomain, region, s.Region)
	}
}

func (v *validator) engine(pointer string, s *BackendServer) {
	if !ValidName(s.Pool) {
		v.list.Add(pointer+"/pool", "pool %q is not a valid name; every engine belongs to a pool", s.Pool)
	}
	v.inRange(pointer, "kvTokens", s.KVTokens, 1, maxKVTokensBound)
	v.optionalInRange(pointer, "maxModels", s.MaxModels, 1, maxModelsBound)
	v.inRange(pointer, "prefillTokensPerSecond", s.PrefillTokensPerSecond, 1, maxRateBound)
	v.inRange(pointer, "decodeTokensPerSecond", s.DecodeTokensPerSecond, 1, maxRateBound)
}

func (v *validator) service(pointer string, s *BackendServer) {
	if s.Pool != "" {
		v.list.Add(pointer+"/pool", "a service has no pool, got %q", s.Pool)
	}
	engineOnly := []struct {
		field string
		set   bool
	}{
		{"kvTokens", s.KVTokens != 0},
		{"maxModels", s.MaxModels != 0},
		{"prefillTokensPerSecond", s.PrefillTokensPerSecond != 0},
		{"decodeTokensPerSecond", s.DecodeTokensPerSecond != 0},
		{"checksFence", s.ChecksFence},
	}
	for _, f := range engineOnly {
		if f.set {
			v.list.Add(pointer+"/"+f.field, "%s applies to engines only", f.field)
		}
	}
}

// poolFailureDomains reports pools that span several failure domains, with one finding per pool.
func (v *validator) poolFailureDomains() {
	for name, p := range v.pools {
		if p.mismatchPointer != "" {
			v.list.Add(p.mismatchPointer+"/failureDomain",
				"the first engine of pool %q is in failure domain %q; all engines of a pool must be in one failure domain",
				name, p.domain)
		}
	}
}
