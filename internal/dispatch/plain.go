package dispatch

const (
	// slotUseLoss is the loss charged for a plain server with all slots in use; it is proportional to the used share.
	slotUseLoss = 0.1
	// failureLoss is the loss charged for a server that fails or refuses all requests; it is proportional to the rate.
	failureLoss = 1.0
)

// plainOption returns the plain server with the least loss from load, failures and failure domain, or nil if all are
// full. Among servers with about the same loss each request has its own preference; otherwise all daemons would choose the
// same server until they hear of each other's choices.
func (c *Core) plainOption(list []*candidate) *option {
	var best *option
	for _, s := range list {
		if s.freeSlots() <= 0 {
			continue
		}
		loss := s.plainLoss()
		if best == nil || loss+s.preference < best.loss+best.lead.preference {
			best = &option{lead: s, loss: loss}
		}
	}
	return best
}

// plainLoss returns the loss of a plain server from load, failures and failure domain.
func (s *candidate) plainLoss() float64 {
	return slotUseLoss*float64(len(s.jobs))/float64(max(1, s.Slots)) + failureLoss*(s.failureRate+s.refusalRate) + s.domainLoss
}
