package gatecore

func (c *Core) claimResult(e ClaimResult) {
	r := c.requests[e.Request]
	if r == nil || !r.claimPending {
		return
	}
	r.claimPending = false
	r.claimHeld = e.Status == ClaimHeld
	r.claimValidUntil = e.ValidUntil
	if r.stage == stageEnded {
		c.releaseClaim(r)
		c.closeIfNothingPending(r)
		return
	}
	if c.activeRequest(e.Now, e.Request) == nil {
		return
	}
	switch e.Status {
	case ClaimHeld:
		c.callService(r)
	case ClaimReplay:
		c.emit(ReplayOutcome{Request: e.Request})
		r.run = RunStatusRun
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
	r.attemptRun = RunStatusUnknown
	call := CallService{Request: r.arrived.Request, Attempt: r.attempt, ValidUntil: r.claimValidUntil}
	if r.arrived.Idempotent {
		call.Servers = []string{r.arrived.Servers[r.countedAttempts].Name}
		call.HasNext = r.countedAttempts+1 < min(maxAttempts, len(r.arrived.Servers))
	} else {
		call.NonIdempotent = true
		for _, s := range r.arrived.Servers {
			call.Servers = append(call.Servers, s.Name)
		}
	}
	c.emit(call)
}

func (c *Core) serviceAnswered(e ServiceAnswered) {
	r := c.activeAttempt(e.Now, e.Request, e.Attempt)
	if r == nil || r.arrived.Kind != KindService || r.answerForwarded {
		return
	}
	r.answerForwarded = true
	r.attemptRun = RunStatusRun
	if r.stage == stageDispatched {
		r.stage = stageStreaming
	}
	c.emit(ForwardAnswer{Request: e.Request, Attempt: e.Attempt})
}

func (c *Core) serviceEnded(e ServiceEnded) {
	r := c.activeAttempt(e.Now, e.Request, e.Attempt)
	if r == nil || r.arrived.Kind != KindService {
		return
	}
	if e.Cause == "" {
		c.serviceComplete(r)
		return
	}
	detached := r.stage == stageDetached
	r.stage = stageWaiting
	c.updateRun(r, e.Cause, r.isTrustworthy(e.Server))
	switch {
	case detached:
		c.end(r)
	case e.Cause == CauseBody:
		c.refuseOrFail(r, CodeInvalidRequest, "the request body broke off or is over its bound")
	case r.answerForwarded:
		c.fail(r, CodeBackendFailed, "the backend server's answer broke off")
	case !r.arrived.Idempotent:
		c.nonIdempotentCallFailed(r, e.Cause)
	default:
		c.retryService(r, e)
	}
}

func (c *Core) serviceComplete(r *request) {
	h := r.arrived.Request
	if r.claimHeld {
		c.emit(RecordOutcome{Request: h})
	}
	r.attemptRun = RunStatusRun
	if r.stage == stageDetached {
		r.stage = stageDraining // the attempt has ended, so end must not cancel it
		c.end(r)
		return
	}
	c.emit(Finish{Request: h, Attempt: r.attempt})
	r.stage = stageDraining
}

func (r *request) isTrustworthy(server string) bool {
	for _, s := range r.arrived.Servers {
		if s.Name == server {
			return s.Trustworthy
		}
	}
	return false
}

// nonIdempotentCallFailed ends a failed call that must not be retried because it is not idempotent.
func (c *Core) nonIdempotentCallFailed(r *request, cause Cause) {
	if r.run != RunStatusNotRun {
		c.fail(r, CodeOutcomeUnknown, "the call was sent and its outcome is unknown: "+messageOfCause[cause])
		return
	}
	switch cause {
	case CauseClaimExpired:
		c.refuse(r, CodePlatformUnavailable, "the claim of the request lapsed before the call was sent")
	case CauseRefused:
		c.refuse(r, CodeOverloaded, "the backend server refused the call")
	default:
		c.refuse(r, CodeNoBackendServer, "no backend server of the route accepts connections")
	}
}

func (c *Core) retryService(r *request, e ServiceEnded) {
	r.countedAttempts++
	code := codeOfCause(e.Cause)
	message := ""
	switch {
	case r.countedAttempts >= maxAttempts, r.countedAttempts >= len(r.arrived.Servers):
		message = "all attempts failed, the last one: "
	case !e.Replayable:
		message = "the request body is too large to be sent again: "
	case !c.budget.takeRetry(c.now):
		message = "the gate's retry budget is used up, the last attempt: "
	}
	if message != "" {
		c.refuseOrFail(r, code, message+messageOfCause[e.Cause])
		return
	}
	r.attempt++
	c.callService(r)
}
