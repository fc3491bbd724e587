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

// overloadRetryAfter is the Retry-After time if the balancer made no decision,
// as when it is overloaded.
const overloadRetryAfter = 200 * time.Millisecond

// responseTimeout bounds the write of a response. The largest takes 13 s on a link of
// 10 Mbit/s.
const responseTimeout = 30 * time.Second

// writeResponse forwards a target's response unchanged.
func (r *request) writeResponse(a *attempt) {
	h := r.w.Header()
	for name, values := range accept.EndToEndHeader(a.response.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(a.response.Body)))
	r.writeHead(a.response.Status)
	_, err := r.w.Write(a.response.Body)
	r.Metrics.Latency(r.Clock().Sub(r.startedAt), "requests", r.rule.Name)
	r.logRequest(a.response.Status, a.result.String(), err)
}

// writeHead writes the status and the headers of a response. The last one on a
// connection says so, also if the stop began while the request was in progress: the
// caller's next request could meet the close.
func (r *request) writeHead(status int) {
	if r.plan.Load() != nil && !r.othersInProgress() {
		r.w.Header().Set("Connection", "close")
	}
	// A caller that doesn't read its response must not hold memory for ever.
	_ = http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(r.responseTimeout)) // fails only if the connection is closed
	r.w.WriteHeader(status)
}

// othersInProgress reports whether requests that the caller sent behind this one, or
// ahead of it, are in progress on its connection.
func (r *request) othersInProgress() bool {
	if _, ahead := r.w.(*recordedResponse); ahead {
		return true
	}
	c, _ := r.httpRequest.Context().Value(connKey{}).(*conn)
	return c != nil && c.pipeline.pending()
}

// finishWithoutTarget responds to a request for which the balancer selected no
// (further) target.
func (r *request) finishWithoutTarget(last *attempt, d balance.Decision, err error) {
	if last != nil {
		r.writeFailure(last, d.RetryAfter)
		return
	}
	if err != nil {
		d.RetryAfter = overloadRetryAfter
		r.reason = r.undecidedReason("balancer-busy")
	}
	r.reject(&rejection{status: http.StatusServiceUnavailable, reason: r.reason, retryAfter: d.RetryAfter})
}

// undecidedReason returns why a duty made no decision, busy if for no other reason.
func (r *request) undecidedReason(busy string) string {
	switch {
	case errors.Is(context.Cause(r.ctx), errCallerClosed):
		return "caller-left"
	case errors.Is(context.Cause(r.ctx), errStopping):
		return "stopping"
	case r.ctx.Err() != nil:
		return "deadline"
	}
	return busy
}

// writeFailure responds to a request whose last attempt failed. It states that
// the request did not run only if no attempt can have run; the caller may then
// return after retryAfter.
func (r *request) writeFailure(a *attempt, retryAfter time.Duration) {
	if !a.mayHaveRun() {
		if !r.loadControl || retryAfter <= 0 {
			retryAfter = max(retryAfter, minRetryAfter)
		}
		r.reject(&rejection{status: http.StatusServiceUnavailable, reason: "not-run-" + a.result.String(), retryAfter: retryAfter})
		return
	}
	if a.response != nil && a.response.Stamped {
		r.writeResponse(a)
		return
	}
	rej := &rejection{status: http.StatusBadGateway, reason: "unknown-" + a.result.String()}
	if a.result == balance.TimedOut || upstream.IsTimeout(a.err) || errors.Is(context.Cause(r.ctx), errStopping) {
		rej.status = http.StatusGatewayTimeout
	}
	if a.err != nil {
		rej.reason += ": " + sentinelText(a.err)
	}
	r.reject(rej)
}

// minRetryAfter is the Retry-After time after attempts at overloaded or
// unreachable targets, and while the VM stops.
const minRetryAfter = 100 * time.Millisecond

// sentinelText returns the text of the sentinel error that err wraps. It is
// part of responses to callers.
func sentinelText(err error) string {
	for _, sentinel := range []error{upstream.ErrIncomplete, upstream.ErrConnectionLost, errCallerClosed, errStopping} {
		if errors.Is(err, sentinel) {
			return sentinel.Error()
		}
	}
	return "timeout"
}

// reject writes a response of the VM itself.
func (r *request) reject(rej *rejection) {
	h := r.w.Header()
	if r.id != "" {
		h.Set(r.Headers.RequestID, r.id)
	}
	if rej.retryAfter > 0 {
		h.Set(r.Headers.RetryAfter, r.Headers.FormatRetryAfter(rej.retryAfter))
	}
	if rej.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", r.Headers.Challenge)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := rej.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	r.writeHead(rej.status)
	_, err := r.w.Write([]byte(body))
	r.Metrics.Count("refusals", strconv.Itoa(rej.status))
	r.logRequest(rej.status, rej.reason, err)
}

func (r *request) logRequest(status int, outcome string, err error) {
	route := ""
	if r.rule != nil {
		route = r.rule.Name
	}
	fields := []any{
		"id", r.id, "route", route, "service", r.service, "config_version", r.version, "status", status, "outcome", outcome,
		"took_ms", r.Clock().Sub(r.startedAt).Milliseconds(),
	}
	if r.keyed {
		fields = append(fields, "key", r.key)
	}
	if r.team != nil {
		fields = append(fields, "team", r.team.Name)
	}
	if r.suspected {
		fields = append(fields, "fingerprint", r.fingerprint().String())
	}
	if r.sends > 0 || r.reason != "" {
		fields = append(fields,
			"sends", r.sends, "targets", r.tried, "decision", r.reason, "about", r.lastDecision.target, "expected_ms", r.lastDecision.expected.Milliseconds(),
			"occupancy", r.lastDecision.occupancy, "load_age_ms", r.lastDecision.loadAge.Milliseconds(), "waited_ms", r.lastDecision.waited.Milliseconds())
	}
	if err != nil {
		fields = append(fields, "write_error", err.Error())
	}
	r.Log.Info("request", fields...)
}
