package dispatch

import "github.com/carobstile/carobstile/internal/core"

// maxPause bounds a pause that a server asks for. A faulty server could otherwise exclude itself for days.
const maxPause = core.Minute

// pause is the time for which a server that turned a request away wants nothing from this daemon. After it, one request
// is sent to see whether the server serves again; the others follow once that one has been answered.
type pause struct {
	until core.Micros
	// probing is set from the end of the pause until the server has served a request; probe is the job that is sent first,
	// 0 if there is none yet.
	probing bool
	probe   uint64
}

// extend starts a pause or extends the current one. The latest end applies.
func (p *pause) extend(now, length core.Micros) {
	p.until = max(p.until, now+min(length, maxPause))
	p.probing, p.probe = true, 0
}

func (p *pause) active(now core.Micros) bool { return now < p.until }

// admits reports whether the server may receive a request now.
func (p *pause) admits(now core.Micros) bool {
	return !p.active(now) && (!p.probing || p.probe == 0)
}

// sent records that a job was sent to the server.
func (p *pause) sent(job uint64) {
	if p.probing && p.probe == 0 {
		p.probe = job
	}
}

// answered records that the server serves a job.
func (p *pause) answered(job uint64) {
	if p.probe == job {
		p.probing, p.probe = false, 0
	}
}

// ended records that a job ended. If it was sent first and the server did not serve it, another one follows.
func (p *pause) ended(job uint64) {
	if p.probe == job {
		p.probe = 0
	}
}
