package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/team"
	"celeryhook.example/celeryhook/internal/upstream"
)

const (
	// ownerWaitDivisor bounds how long a request waits until its key has an owner,
	// as a fraction of its remaining time.
	ownerWaitDivisor  = 4
	ownerPollInterval = 25 * time.Millisecond
	// notOwnerDelay is the delay before an attempt after the owner has rejected one
	// because its grant is missing: about the time in which the grant is renewed.
	notOwnerDelay = 40 * time.Millisecond
	// maxExtraAttempts bounds the attempts beyond the route's limit, which are
	// made only while no attempt can have run.
	maxExtraAttempts = 2
	// A hedge starts after hedgeFactor times the expected latency, but not before
	// hedgeFloor times the latency objective.
	hedgeFactor = 2.5
	hedgeFloor  = 0.5
	// minAttemptTime is the minimum remaining time for another attempt.
	minAttemptTime = 20 * time.Millisecond
)

// attempt is the outcome of sending the request to a target.
type attempt struct {
	// permit is that of the team, or nil.
	permit   *team.Permit
	target   core.Target
	response *upstream.Response
	err      error
	result   balance.Result
}

// mayHaveRun reports whether the target may have run the request.
func (a *attempt) mayHaveRun() bool {
	switch a.result {
	case balance.ConnectFailed, balance.Shed, balance.OtherProcess, balance.NotOwner, balance.TurnedAway:
		return false
	}
	return !errors.Is(a.err, upstream.ErrNotSent)
}

// forward sends the request to targets until one responds or no further attempt
// is allowed.
func (r *request) forward() {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.features = r.costFeatures()
	results := make(chan attempt, r.rule.MaxAttempts+maxExtraAttempts+1)
	kind := balance.First
	pending := 0
	var last *attempt
	possibleRuns := 0
	defer r.returnPermit()
	for {
		if rejection := r.takePermit(maxPermitWait); rejection != nil {
			r.finishWithoutPermit(last, rejection)
			return
		}
		d, err := r.selectTarget(kind)
		if err != nil || d.Verdict != balance.Send {
			r.finishWithoutTarget(last, d, err)
			return
		}
		permit, rejection := r.usePermit(d, maxPermitWait)
		if rejection != nil {
			r.finishWithoutPermit(last, rejection)
			return
		}
		pending++
		r.startAttempt(ctx, d, permit, results)
		hedge := r.hedgeTimer(d, possibleRuns)
		for pending > 0 {
			var a attempt
			select {
			case a = <-results:
			case <-hedge:
				hedge = nil
				if r.takePermit(noPermitWait) != nil {
					continue
				}
				if d, err := r.selectTarget(balance.Hedge); err == nil && d.Verdict == balance.Send {
					permit, rejection := r.usePermit(d, noPermitWait)
					if rejection != nil {
						continue
					}
					pending++
					r.Metrics.Count("hedges")
					r.startAttempt(ctx, d, permit, results)
				}
				continue
			}
			pending--
			if answered := a.response != nil && a.mayHaveRun(); answered && (r.suspected || possibleRuns > 0) {
				r.Quarantine.Answered(r.fingerprint())
			}
			if a.result == balance.Succeeded {
				r.writeResponse(&a)
				return
			}
			if last == nil || a.mayHaveRun() || !last.mayHaveRun() {
				last = &a
			}
			if a.mayHaveRun() {
				possibleRuns++
			} else {
				r.keepPermit(a.permit)
			}
		}
		if kind = r.nextAttempt(last, possibleRuns); kind == noAttempt {
			r.writeFailure(last, 0)
			return
		}
		if last.result == balance.NotOwner {
			duty.Sleep(r.ctx, notOwnerDelay)
		}
	}
}

// noAttempt is returned by nextAttempt if no further attempt is allowed.
const noAttempt = balance.AttemptKind(255)

// nextAttempt returns the kind of the attempt that follows the failed attempt a,
// or noAttempt. possibleRuns is the number of attempts that may have run.
func (r *request) nextAttempt(a *attempt, possibleRuns int) balance.AttemptKind {
	if r.ctx.Err() != nil || r.deadline.Sub(r.Clock()) < minAttemptTime {
		return noAttempt
	}
	if r.sends >= max(r.rule.MaxAttempts, 1)+maxExtraAttempts {
		return noAttempt
	}
	if possibleRuns > 0 && r.suspected {
		return noAttempt
	}
	if possibleRuns > 0 && (!r.rule.Idempotent || possibleRuns >= r.rule.MaxAttempts) {
		return noAttempt
	}
	if errors.Is(a.err, upstream.ErrNotSent) {
		return balance.First
	}
	return balance.Retry
}

// selectTarget requests a decision from the balancer. While the request's key
// has no owner, it waits and retries, as long as the decision allows.
func (r *request) selectTarget(kind balance.AttemptKind) (balance.Decision, error) {
	reply := make(chan balance.Decision, 1)
	startedAt := r.Clock()
	maxWait := r.deadline.Sub(startedAt) / ownerWaitDivisor
	tried := r.tried
	if r.keyed {
		tried = nil
	}
	counted := r.sends > 0
	for {
		d, err := r.Balancer.SelectTarget(r.ctx, balance.SelectTarget{
			Service: r.service, Route: r.rule.Name, Objective: r.rule.LatencyObjective, Key: r.key, Priority: r.priority(), Features: r.features,
			Patience: r.patience, Deadline: r.deadline, Tried: tried, Kind: kind, Counted: counted, Reply: reply,
		})
		counted = true
		if err != nil {
			return d, err
		}
		if d.Verdict != balance.Wait || r.Clock().Sub(startedAt) >= min(maxWait, d.MaxWait) {
			r.recordDecision(d)
			return d, nil
		}
		duty.Sleep(r.ctx, ownerPollInterval)
		r.lastDecision.waited += ownerPollInterval
	}
}

func (r *request) recordDecision(d balance.Decision) {
	r.reason = d.Reason
	r.lastDecision.target = d.Target.ID
	r.lastDecision.expected, r.lastDecision.occupancy, r.lastDecision.loadAge = d.ExpectedLatency, d.Occupancy, d.LoadAge
	if d.Verdict == balance.Send {
		r.tried = append(r.tried, d.Target.ID)
		r.sends++
	}
}

// startAttempt sends the request to a target on a goroutine of its own.
func (r *request) startAttempt(ctx context.Context, d balance.Decision, permit *team.Permit, results chan<- attempt) {
	out := &upstream.Request{
		Address: d.Target.Address, Service: string(r.service), Target: string(d.Target.ID), ID: r.id,
		Method: r.httpRequest.Method, URI: r.httpRequest.RequestURI, Host: r.httpRequest.Host, Header: r.header, Body: r.body,
		Timeout: r.deadline.Sub(r.Clock()), MaxIdle: d.Target.MaxConnections, Held: r.held,
	}
	go func() {
		ctx, span := r.Tracer.Start(ctx, "attempt", trace.WithAttributes(attribute.String("target", out.Target)))
		defer span.End()
		startedAt := r.Clock()
		a := attempt{target: d.Target.ID, permit: permit}
		a.response, a.err = r.Upstream.Do(ctx, out)
		a.result = r.classify(ctx, &a)
		done := balance.AttemptDone{
			Service: r.service, Route: r.rule.Name, Objective: r.rule.LatencyObjective,
			Target: a.target, Result: a.result, Elapsed: r.Clock().Sub(startedAt), Features: r.features, Attempt: d.Attempt,
		}
		if a.response != nil && !a.response.OtherProcess {
			done.Load = r.Headers.ParseLoad(a.response.Header)
			announced := r.Headers.ParseAnnouncement(a.response.Status, a.response.Header)
			done.Announced = &announced
		}
		if a.result == balance.ConnectionLost {
			r.Quarantine.Lost(r.fingerprint(), quarantine.Process{Target: a.target, StartedAt: d.Target.StartedAt})
		}
		r.Balancer.Done(done)
		if a.result == balance.NotOwner {
			r.Balancer.NotOwner(r.service, r.key, a.target)
		}
		r.Metrics.Count("attempts", a.result.String())
		results <- a
	}()
}

// classify returns the result of an attempt that has ended.
func (r *request) classify(ctx context.Context, a *attempt) balance.Result {
	switch {
	case a.err == nil:
		return r.classifyResponse(a.response)
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Cancelled
	case errors.Is(a.err, upstream.ErrTurnedAway):
		return balance.TurnedAway
	case errors.Is(a.err, upstream.ErrNotSent):
		return balance.ConnectFailed
	case upstream.IsTimeout(a.err):
		return balance.TimedOut
	case errors.Is(a.err, upstream.ErrIncomplete):
		return balance.Failed
	}
	return balance.ConnectionLost
}

func (r *request) classifyResponse(resp *upstream.Response) balance.Result {
	switch {
	case resp.OtherProcess:
		return balance.OtherProcess
	case resp.Status == http.StatusMisdirectedRequest && r.keyed && resp.NotRun:
		return balance.NotOwner
	case resp.NotRun || resp.Status == http.StatusMisdirectedRequest:
		return balance.Shed
	case !resp.Stamped || resp.Status >= http.StatusInternalServerError:
		return balance.Failed
	}
	return balance.Succeeded
}

// hedgeTimer returns a channel that fires when the request should be hedged, or
// nil if hedging is not allowed for it.
func (r *request) hedgeTimer(d balance.Decision, possibleRuns int) <-chan time.Time {
	if !r.rule.Idempotent || r.keyed || r.suspected || possibleRuns > 0 || r.rule.MaxAttempts < 2 {
		return nil
	}
	delay := max(time.Duration(float64(d.ExpectedLatency)*hedgeFactor), time.Duration(float64(r.rule.LatencyObjective)*hedgeFloor))
	return time.After(delay)
}
