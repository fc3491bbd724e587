package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"celeryhook.example/celeryhook/internal/accept"
	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/upstream"
)

// overloadRetry is told when the balancer itself is too busy to decide.
const overloadRetry = 200 * time.Millisecond

// deliver passes a target's answer on unchanged.
func (r *request) deliver(a *attempt) {
	h := r.w.Header()
	for name, values := range accept.EndToEndHeader(a.answer.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	r.w.WriteHeader(a.answer.Status)
	_, err := r.w.Write(a.answer.Body)
	r.Metrics.Latency(r.Clock().Sub(r.began), "requests", r.rule.Name)
	r.record(a.answer.Status, a.result.String(), err)
}

// end answers a request for which no (further) attempt is made.
func (r *request) end(last *attempt, d balance.Decision, err error) {
	if last != nil {
		r.fail(last)
		return
	}
	if err != nil {
		d.RetryAfter = overloadRetry
		switch {
		case errors.Is(context.Cause(r.ctx), errCallerLeft):
			r.reason = "caller-left"
		case r.ctx.Err() != nil:
			r.reason = "deadline"
		default:
			r.reason = "balancer-busy"
		}
	}
	r.refuse(&refusal{status: http.StatusServiceUnavailable, reason: r.reason, retryAfter: d.RetryAfter})
}

// fail answers a request whose last attempt failed. Only if nothing can have
// run does the answer promise so.
func (r *request) fail(a *attempt) {
	if !a.mayHaveRun() {
		r.refuse(&refusal{status: http.StatusServiceUnavailable, reason: "not-run-" + a.result.String(), retryAfter: minRefusalRetry})
		return
	}
	if a.answer != nil && a.answer.Stamped {
		r.deliver(a)
		return
	}
	f := &refusal{status: http.StatusBadGateway, reason: "unknown-" + a.result.String()}
	if a.result == balance.TimedOut || upstream.IsTimeout(a.err) {
		f.status = http.StatusGatewayTimeout
	}
	if a.err != nil {
		f.reason += ": " + short(a.err)
	}
	r.refuse(f)
}

// minRefusalRetry is told when attempts ended at busy or unreachable targets.
const minRefusalRetry = 100 * time.Millisecond

// short names the sentinel of an exchange's error.
func short(err error) string {
	for _, known := range []error{upstream.ErrIncomplete, upstream.ErrBroken, errCallerLeft} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "timeout"
}

// refuse writes an answer of the VM's own.
func (r *request) refuse(f *refusal) {
	h := r.w.Header()
	if r.id != "" {
		h.Set(r.Headers.RequestID, r.id)
	}
	if f.retryAfter > 0 {
		h.Set(r.Headers.RetryAfter, r.Headers.FormatRetryAfter(f.retryAfter))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(f.status)
	_, err := r.w.Write([]byte(body))
	r.Metrics.Count("refusals", strconv.Itoa(f.status))
	r.record(f.status, f.reason, err)
}

// record writes the request's log line.
func (r *request) record(status int, outcome string, err error) {
	route := ""
	if r.rule != nil {
		route = r.rule.Name
	}
	fields := []any{
		"id", r.id, "route", route, "service", r.service, "config_version", r.version, "status", status, "outcome", outcome,
		"took_ms", r.Clock().Sub(r.began).Milliseconds(),
	}
	if r.keyed {
		fields = append(fields, "key", r.key)
	}
	if r.sends > 0 || r.reason != "" {
		fields = append(fields,
			"sends", r.sends, "targets", r.tried, "decision", r.reason, "about", r.decided.target, "expected_ms", r.decided.expected.Milliseconds(),
			"occupancy", r.decided.occupancy, "load_age_ms", r.decided.loadAge.Milliseconds(), "waited_ms", r.decided.waited.Milliseconds())
	}
	if err != nil {
		fields = append(fields, "write_error", err.Error())
	}
	r.Log.Info("request", fields...)
}
