package edge

import (
	"github.com/carobstile/carobstile/internal/forward"
	"github.com/carobstile/carobstile/internal/routing"
)

// memoryPerBody is the memory that the largest body requires, as a multiple of its size. The part of the memory that large bodies share,
// callerMemoryShare less reservedShare of it, is 0.21, in which such a body has room with its headers and the chunk that ends it.
const memoryPerBody = 5

// warnOfBodies logs that the memory of the host is too small for a single body of the size that the configuration allows. Such a body
// would be refused without other load.
func (d *Daemon) warnOfBodies(limits routing.Limits) {
	bodyBytes, memoryMB := forward.MaxBodyBytes(limits), d.latestSettings.Load().MemoryMB
	if required := memoryPerBody * bodyBytes; int64(memoryMB)<<20 < required {
		const mb = 1 << 20
		d.log.Warn("memoryMB is too small for the largest body", "memory_mb", memoryMB, "required_mb", (required+mb-1)/mb, "body_bytes", bodyBytes)
	}
}
