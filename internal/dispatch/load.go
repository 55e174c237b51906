package dispatch

import (
	"math"

	"github.com/carobstile/carobstile/internal/core"
)

// readLoads averages how many engines the reading of prompts keeps busy, by service and by the pauses that their
// answers allow.
type readLoads []*readLoad

type readLoad struct {
	service string
	pause   core.Micros
	engines float64
	at      core.Micros
}

func (l *readLoad) decay(now core.Micros) {
	if now > l.at {
		l.engines *= math.Exp(-float64(now-l.at) / float64(readMemory))
		l.at = now
	}
}

// add counts the reading of a prompt that takes one engine cost ms.
func (r *readLoads) add(now core.Micros, service string, pause core.Micros, cost float64) {
	for _, l := range *r {
		if l.service == service && l.pause == pause {
			l.decay(now)
			l.engines += cost / ms(readMemory)
			return
		}
	}
	*r = append(*r, &readLoad{service: service, pause: pause, engines: cost / ms(readMemory), at: now})
}

// load returns how many engines are busy with prompts whose answers allow longer pauses.
func (r readLoads) load(now core.Micros, service string, pause core.Micros) float64 {
	sum := 0.0
	for _, l := range r {
		if l.service == service && l.pause > pause {
			l.decay(now)
			sum += l.engines
		}
	}
	return sum
}
