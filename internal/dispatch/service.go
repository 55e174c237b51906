package dispatch

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/fairshare"
	"github.com/carobstile/carobstile/internal/locality"
)

type service struct {
	Service
	// servers are the listed servers except evacuated ones, sorted by ID. all includes these, as they still run requests.
	servers, all []*server
	// domains and loads have the failure domains of the servers; the loads are compared again at loadsDue. balancer says which
	// requests may leave.
	domains  []domain
	loads    []locality.Domain
	balancer locality.Balancer
	loadsDue core.Micros
	// answerTime is the moving average of the time that this daemon's requests take on a plain service; 0 if unknown.
	answerTime core.Micros
	// shortestPause is the shortest target for pauses of the requests so far; 0 if none had one.
	shortestPause core.Micros
	// usualTime is the result of usualFirstEvent when the waiting requests were last evaluated.
	usualTime core.Micros
	// coldSlowdown is the slowdown that a cold server of the service last reported; 0 if none did.
	coldSlowdown float64
	// shares holds the use of the engines by workspace; nil if workspaces have no shares.
	shares *fairshare.Ledger
}

// observePause updates shortestPause.
func (s *service) observePause(pause core.Micros) {
	if s != nil && pause > 0 && (s.shortestPause == 0 || pause < s.shortestPause) {
		s.shortestPause = pause
	}
}

// observeAnswer updates answerTime.
func (s *service) observeAnswer(took core.Micros) {
	if s.answerTime == 0 {
		s.answerTime = took
		return
	}
	s.answerTime += core.Micros(answerTimeWeight * float64(took-s.answerTime))
}
