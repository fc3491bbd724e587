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
	"celeryhook.example/celeryhook/internal/upstream"
)

const (
	// maxWait bounds how long a request waits for an owner of its key: about
	// the time of a move. It waits no longer than a share of its time.
	maxWait      = 250 * time.Millisecond
	maxWaitShare = 4
	waitPoll     = 25 * time.Millisecond
	// extraSends bounds the attempts that provably did not run, beyond the
	// route's own limit.
	extraSends = 2
	// A hedge starts once an answer takes hedgeFactor times as long as expected,
	// but not before hedgeFloor of the latency objective is over.
	hedgeFactor = 2.5
	hedgeFloor  = 0.5
	// minAttempt is the least time worth starting another attempt with.
	minAttempt = 20 * time.Millisecond
)

// attempt is one sending of the request to a target.
type attempt struct {
	target core.Target
	answer *upstream.Answer
	err    error
	result balance.Result
}

// mayHaveRun reports whether the target may have run the request.
func (a *attempt) mayHaveRun() bool {
	switch a.result {
	case balance.ConnectFailed, balance.Shed, balance.OtherProcess, balance.NotOwner:
		return false
	}
	return !errors.Is(a.err, upstream.ErrNotSent)
}

// forward sends the request until it has an answer or nothing more may be
// tried.
func (r *request) forward() {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	results := make(chan attempt, r.rule.MaxAttempts+extraSends+1)
	kind := balance.First
	pending := 0
	var last *attempt
	ran := 0
	for {
		d, err := r.ask(kind)
		if err != nil || d.Verdict != balance.Send {
			r.end(last, d, err)
			return
		}
		pending++
		r.start(ctx, d, results)
		hedge := r.hedgeTimer(d, ran)
		for pending > 0 {
			var a attempt
			select {
			case a = <-results:
			case <-hedge:
				hedge = nil
				if d, err := r.ask(balance.Hedge); err == nil && d.Verdict == balance.Send {
					pending++
					r.Metrics.Count("hedges")
					r.start(ctx, d, results)
				}
				continue
			}
			pending--
			if a.result == balance.Succeeded {
				r.deliver(&a)
				return
			}
			if last == nil || a.mayHaveRun() || !last.mayHaveRun() {
				last = &a
			}
			if a.mayHaveRun() {
				ran++
			}
		}
		if kind = r.again(last, ran); kind == noMore {
			r.fail(last)
			return
		}
	}
}

// noMore is the kind of no further attempt.
const noMore = balance.AttemptKind(255)

// again decides whether another attempt follows one that failed.
func (r *request) again(a *attempt, ran int) balance.AttemptKind {
	if r.ctx.Err() != nil || r.until.Sub(r.Clock()) < minAttempt {
		return noMore
	}
	if r.sends >= max(r.rule.MaxAttempts, 1)+extraSends {
		return noMore
	}
	if ran > 0 && (!r.rule.Idempotent || ran >= r.rule.MaxAttempts) {
		return noMore
	}
	if errors.Is(a.err, upstream.ErrNotSent) {
		return balance.First
	}
	return balance.Retry
}

// ask gets a decision, and waits a little while a key has no owner.
func (r *request) ask(kind balance.AttemptKind) (balance.Decision, error) {
	reply := make(chan balance.Decision, 1)
	waitUntil := r.Clock().Add(min(maxWait, r.until.Sub(r.Clock())/maxWaitShare))
	tried := r.tried
	if r.keyed {
		tried = nil
	}
	counted := r.sends > 0
	for {
		d, err := r.Balancer.Ask(r.ctx, balance.SelectTarget{
			Service: r.service, Key: r.key, Priority: r.rule.Priority, Deadline: r.until,
			Tried: tried, Kind: kind, Counted: counted, Reply: reply,
		})
		counted = true
		if err != nil {
			return d, err
		}
		if d.Verdict != balance.Wait || !r.Clock().Before(waitUntil) {
			r.note(d)
			return d, nil
		}
		duty.Sleep(r.ctx, waitPoll)
		r.decided.waited += waitPoll
	}
}

func (r *request) note(d balance.Decision) {
	r.reason = d.Reason
	r.decided.target = d.Target.ID
	r.decided.expected, r.decided.occupancy, r.decided.loadAge = d.ExpectedLatency, d.Occupancy, d.LoadAge
	if d.Verdict == balance.Send {
		r.tried = append(r.tried, d.Target.ID)
		r.sends++
	}
}

// start sends the request to a target in the background.
func (r *request) start(ctx context.Context, d balance.Decision, results chan<- attempt) {
	out := &upstream.Request{
		Address: d.Target.Address, Target: string(d.Target.ID), ID: r.id,
		Method: r.in.Method, URI: r.in.RequestURI, Host: r.in.Host, Header: r.header, Body: r.body,
		Wait: r.until.Sub(r.Clock()), MaxIdle: d.Target.MaxConnections,
	}
	go func() {
		ctx, span := r.Tracer.Start(ctx, "attempt", trace.WithAttributes(attribute.String("target", out.Target)))
		defer span.End()
		began := r.Clock()
		a := attempt{target: d.Target.ID}
		a.answer, a.err = r.Upstream.Do(ctx, out)
		a.result = r.judge(ctx, &a)
		done := balance.AttemptDone{Service: r.service, Target: a.target, Result: a.result, Elapsed: r.Clock().Sub(began)}
		if a.answer != nil {
			done.Load = r.Headers.ParseLoad(a.answer.Header)
		}
		r.Balancer.Done(done)
		if a.result == balance.NotOwner {
			r.Balancer.NotOwner(r.service, r.key, a.target)
		}
		r.Metrics.Count("attempts", a.result.String())
		results <- a
	}()
}

// judge says what the end of an attempt means.
func (r *request) judge(ctx context.Context, a *attempt) balance.Result {
	switch {
	case a.err == nil:
		return r.judgeAnswer(a.answer)
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.Cancelled
	case errors.Is(a.err, upstream.ErrNotSent):
		return balance.ConnectFailed
	case upstream.IsTimeout(a.err):
		return balance.TimedOut
	case errors.Is(a.err, upstream.ErrIncomplete):
		return balance.Failed
	}
	return balance.ConnectionLost
}

func (r *request) judgeAnswer(a *upstream.Answer) balance.Result {
	switch {
	case a.OtherProcess:
		return balance.OtherProcess
	case a.Status == http.StatusMisdirectedRequest && r.keyed && a.NotRun:
		return balance.NotOwner
	case a.NotRun || a.Status == http.StatusMisdirectedRequest:
		return balance.Shed
	case !a.Stamped || a.Status >= http.StatusInternalServerError:
		return balance.Failed
	}
	return balance.Succeeded
}

// hedgeTimer fires when a request that may run twice should go to a second
// target as well.
func (r *request) hedgeTimer(d balance.Decision, ran int) <-chan time.Time {
	if !r.rule.Idempotent || r.keyed || ran > 0 || r.rule.MaxAttempts < 2 {
		return nil
	}
	delay := max(time.Duration(float64(d.ExpectedLatency)*hedgeFactor), time.Duration(float64(r.rule.LatencyObjective)*hedgeFloor))
	return time.After(delay)
}
