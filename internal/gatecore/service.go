package gatecore

func (c *Core) claimResult(e ClaimResult) {
	r := c.requests[e.Request]
	if r == nil || !r.claimPending {
		return
	}
	r.claimPending = false
	r.claimHeld = e.Status == ClaimHeld
	r.validUntil = e.ValidUntil
	if r.stage == stageEnded {
		c.releaseClaim(r)
		c.closeIfSettled(r)
		return
	}
	if c.live(e.Now, e.Request) == nil {
		return
	}
	switch e.Status {
	case ClaimHeld:
		c.callService(r)
	case ClaimReplay:
		c.emit(ReplayOutcome{Request: e.Request})
		r.run = RunDone
		r.stage = stageDraining
	case ClaimReused:
		c.refuse(r, CodeKeyReused, "the idempotency key was used with another request body")
	case ClaimUnknown:
		c.fail(r, CodeOutcomeUnknown, "a former request with this idempotency key has no known outcome")
	case ClaimUnavailable:
		c.refuse(r, CodePlatformUnavailable, "the claim of the request could not be stored")
	}
}

func (c *Core) callService(r *request) {
	r.stage = stageDispatched
	r.attemptRun = RunUnknown
	call := CallService{Request: r.arrived.Request, Attempt: r.attempt, ValidUntil: r.validUntil}
	if r.arrived.Idempotent {
		call.Servers = []string{r.arrived.Servers[r.tries].Name}
		call.HasNext = r.tries+1 < min(maxAttempts, len(r.arrived.Servers))
	} else {
		call.Once = true
		for _, s := range r.arrived.Servers {
			call.Servers = append(call.Servers, s.Name)
		}
	}
	c.emit(call)
}

func (c *Core) serviceAnswered(e ServiceAnswered) {
	r := c.current(e.Now, e.Request, e.Attempt)
	if r == nil || r.arrived.Kind != KindService || r.forwarded {
		return
	}
	r.forwarded = true
	r.attemptRun = RunDone
	if r.stage == stageDispatched {
		r.stage = stageStreaming
	}
	c.emit(ForwardAnswer{Request: e.Request, Attempt: e.Attempt})
}

func (c *Core) serviceEnded(e ServiceEnded) {
	r := c.current(e.Now, e.Request, e.Attempt)
	if r == nil || r.arrived.Kind != KindService {
		return
	}
	if e.Cause == "" {
		c.serviceComplete(r)
		return
	}
	detached := r.stage == stageDetached
	r.stage = stageWaiting
	c.settleEvidence(r, e.Cause, r.trusts(e.Server))
	switch {
	case detached:
		c.end(r)
	case e.Cause == CauseBody:
		c.failAttempts(r, CodeInvalidRequest, "the request body broke off or is over its bound")
	case r.forwarded:
		c.fail(r, CodeBackendFailed, "the backend server's answer broke off")
	case !r.arrived.Idempotent:
		c.onceFailed(r, e.Cause)
	default:
		c.retryService(r, e)
	}
}

func (c *Core) serviceComplete(r *request) {
	h := r.arrived.Request
	if r.claimHeld {
		c.emit(RecordOutcome{Request: h})
	}
	r.attemptRun = RunDone
	if r.stage == stageDetached {
		r.stage = stageDraining // nothing is left to cancel
		c.end(r)
		return
	}
	c.emit(Finish{Request: h, Attempt: r.attempt})
	r.stage = stageDraining
}

func (r *request) trusts(server string) bool {
	for _, s := range r.arrived.Servers {
		if s.Name == server {
			return s.Trustworthy
		}
	}
	return false
}

// onceFailed ends a call that must not be sent a second time.
func (c *Core) onceFailed(r *request, cause Cause) {
	if r.run != RunNot {
		c.fail(r, CodeOutcomeUnknown, "the call was sent and its outcome is unknown: "+describeCause[cause])
		return
	}
	switch cause {
	case CauseClaimLapsed:
		c.refuse(r, CodePlatformUnavailable, "the claim of the request lapsed before the call was sent")
	case CauseRefused:
		c.refuse(r, CodeOverloaded, "the backend server refused the call")
	default:
		c.refuse(r, CodeNoBackendServer, "no backend server of the route accepts connections")
	}
}

func (c *Core) retryService(r *request, e ServiceEnded) {
	r.tries++
	code := codeOfCause(e.Cause)
	message := ""
	switch {
	case r.tries >= maxAttempts, r.tries >= len(r.arrived.Servers):
		message = "all attempts failed, the last one: "
	case !e.Replayable:
		message = "the request body is too large to be sent again: "
	case !c.budget.takeRetry(c.now):
		message = "the gate's retry budget is used up, the last attempt: "
	}
	if message != "" {
		c.failAttempts(r, code, message+describeCause[e.Cause])
		return
	}
	r.attempt++
	c.callService(r)
}
