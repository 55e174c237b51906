package dispatch

import (
	"math"

	"github.com/carobstile/carobstile/internal/core"
)

// prefillLoadList averages the number of engines that are busy with prefill, by service and by the pause target of the
// requests.
type prefillLoadList []*prefillLoad

// prefillLoad is the average number of busy engines at updatedAt; it decays with prefillLoadDecayTime.
type prefillLoad struct {
	service   string
	pause     core.Micros
	engines   float64
	updatedAt core.Micros
}

func (l *prefillLoad) decay(now core.Micros) {
	if now > l.updatedAt {
		l.engines *= math.Exp(-float64(now-l.updatedAt) / float64(prefillLoadDecayTime))
		l.updatedAt = now
	}
}

// add records a prompt whose prefill takes cost milliseconds on one engine.
func (p *prefillLoadList) add(now core.Micros, service string, pause core.Micros, cost float64) {
	for _, l := range *p {
		if l.service == service && l.pause == pause {
			l.decay(now)
			l.engines += cost / ms(prefillLoadDecayTime)
			return
		}
	}
	*p = append(*p, &prefillLoad{service: service, pause: pause, engines: cost / ms(prefillLoadDecayTime), updatedAt: now})
}

// load returns the average number of engines busy with prompts whose pause target is longer than pause.
func (p prefillLoadList) load(now core.Micros, service string, pause core.Micros) float64 {
	sum := 0.0
	for _, l := range p {
		if l.service == service && l.pause > pause {
			l.decay(now)
			sum += l.engines
		}
	}
	return sum
}
