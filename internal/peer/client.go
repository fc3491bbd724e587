package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/forward"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/peer/peerpb"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/route"
	"celeryhook.example/celeryhook/internal/target"
)

// ErrUnreachable is wrapped by all errors that a Client returns.
var ErrUnreachable = errors.New("peer: VM unreachable")

// Client calls the RPCs of other VMs.
type Client struct {
	http   *http.Client
	clock  duty.Clock
	tracer trace.Tracer
}

func NewClient(client *http.Client, clock duty.Clock, tracer trace.Tracer) *Client {
	return &Client{http: client, clock: clock, tracer: tracer}
}

func (c *Client) stub(address string) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address, c.http)
}

// Exchange sends a heartbeat and returns the other VM's.
func (c *Client) Exchange(ctx context.Context, address string, info membership.Info) (membership.Info, error) {
	reply, err := c.stub(address).Exchange(ctx, infoToPB(info))
	if err != nil {
		return membership.Info{}, fmt.Errorf("%w: %s: exchange: %w", ErrUnreachable, address, err)
	}
	return infoFromPB(reply), nil
}

// Publish sends a range map to another VM.
func (c *Client) Publish(ctx context.Context, address string, m *core.RangeMap) error {
	if _, err := c.stub(address).Publish(ctx, mapToPB(m)); err != nil {
		return fmt.Errorf("%w: %s: publish: %w", ErrUnreachable, address, err)
	}
	return nil
}

// FetchResult is the state of another VM that is newer than the versions in the
// request.
type FetchResult struct {
	LogState *platformlog.State
	Maps     []*core.RangeMap
}

// Fetch requests from another VM the state that is newer than the versions given.
func (c *Client) Fetch(ctx context.Context, address string, offset uint64, maps map[core.FailureDomain]core.Token) (FetchResult, error) {
	reply, err := c.stub(address).Fetch(ctx, &peerpb.FetchRequest{LogOffset: offset, Maps: mapVersionsToPB(maps)})
	if err != nil {
		return FetchResult{}, fmt.Errorf("%w: %s: fetch: %w", ErrUnreachable, address, err)
	}
	var out FetchResult
	if len(reply.GetFolded()) > 0 {
		out.LogState = new(platformlog.State)
		if err := json.Unmarshal(reply.GetFolded(), out.LogState); err != nil {
			return FetchResult{}, fmt.Errorf("%w: %s: fetch: %w", ErrUnreachable, address, err)
		}
	}
	for _, m := range reply.GetMaps() {
		out.Maps = append(out.Maps, mapFromPB(m))
	}
	return out, nil
}

// Forward implements forward.Remote.
func (c *Client) Forward(ctx context.Context, address string, call forward.Call, d route.Decision) forward.Result {
	ctx, span := c.tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	remaining := call.Request.Deadline.Sub(c.clock())
	if remaining <= 0 {
		return forward.Result{Outcome: core.OutcomeNotRun, Detail: "the deadline passed before forwarding"}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	req := requestToPB(call, remaining)
	req.Map = &peerpb.MapVersion{FailureDomain: string(d.FailureDomain), Version: tokenToPB(d.MapVersion)}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	req.TraceParent = carrier.Get("traceparent")
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	reply, err := c.stub(address).Forward(ctx, req)
	if err != nil {
		return failureResult(call, address, err, connected.Load())
	}
	return resultFromPB(call, reply)
}

// failureResult returns the result of a failed RPC. Only the lack of a
// connection, or the error of a stopping VM, proves that the front did not
// receive the request.
func failureResult(call forward.Call, address string, err error, connected bool) forward.Result {
	if isStopping(err) {
		return forward.Result{Outcome: core.OutcomeNotRun, Detail: fmt.Sprintf("VM at %s is stopping", address), Target: call.Target}
	}
	if !connected {
		return forward.Result{Outcome: core.OutcomeNotRun, Detail: fmt.Sprintf("VM at %s: %v", address, err), Target: call.Target}
	}
	return forward.Result{Outcome: core.OutcomeUnknown, Detail: fmt.Sprintf("VM at %s: %v", address, err), Target: call.Target}
}

func requestToPB(call forward.Call, remaining time.Duration) *peerpb.ForwardRequest {
	r := call.Request
	return &peerpb.ForwardRequest{
		RequestId:      string(r.ID),
		Attempt:        r.Attempt,
		Flow:           r.Flow,
		Service:        string(r.Service),
		Class:          r.Class.String(),
		Idempotent:     r.Idempotent,
		Range:          rangeToPB(r.Range),
		Caller:         r.Caller,
		KeyHash:        r.KeyHash,
		DeadlineLeftMs: uint64(remaining.Milliseconds()),
		Method:         call.HTTP.Method,
		Path:           call.HTTP.Path,
		Headers:        headersToPB(call.HTTP.Header),
		Body:           call.HTTP.Body,
		BodyLength:     uint64(len(call.HTTP.Body)),
		Digest:         r.Digest,
		Target:         string(call.Target),
		Branch:         string(r.Branch),
	}
}

func resultFromPB(call forward.Call, r *peerpb.ForwardReply) forward.Result {
	if r.GetRequestId() != string(call.Request.ID) || r.GetAttempt() != call.Request.Attempt ||
		r.GetBodyLength() != uint64(len(r.GetBody())) {
		return forward.Result{Outcome: core.OutcomeUnknown, Detail: "the response is not that of this request", Target: call.Target}
	}
	return forward.Result{
		Outcome:    core.Outcome(r.GetOutcome()),
		Detail:     r.GetDetail(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		Target:     core.Target(r.GetTarget()),
		Response: target.Response{
			Status: int(r.GetStatus()),
			Header: headersFromPB(r.GetHeaders()),
			Body:   r.GetBody(),
		},
	}
}
