package dispatch

const (
	// busyLoss is charged for each request that a plain server already runs, as a share of its slots.
	busyLoss = 0.1
	// failureLoss is charged for the whole of a server's failure rate.
	failureLoss = 1.0
)

// plainOption returns the plain server with the least load and failures, or nil if all are full.
func (c *Core) plainOption(list []*candidate) *option {
	var best *option
	for _, s := range list {
		if s.freeSlots() <= 0 {
			continue
		}
		loss := busyLoss*float64(len(s.jobs))/float64(max(1, s.Slots)) + failureLoss*s.failureRate + c.domainLoss(s.server)
		if best == nil || loss < best.loss {
			best = &option{lead: s, loss: loss}
		}
	}
	return best
}
