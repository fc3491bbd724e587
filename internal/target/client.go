package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/transport"
)

// Headers of requests to targets and of targets' responses.
const (
	HeaderToken       = "Celeryhook-Token"
	HeaderFront       = "Celeryhook-Front"
	HeaderRange       = "Celeryhook-Range"
	HeaderRequestID   = "Celeryhook-Request-Id"
	HeaderAttempt     = "Celeryhook-Attempt"
	HeaderDeadline    = "Celeryhook-Deadline"
	HeaderClock       = "Celeryhook-Clock"
	HeaderIncarnation = "Celeryhook-Incarnation"
	HeaderNotRun      = "Celeryhook-Not-Run"
)

// OrderPath is the path of the targets' endpoint for orders.
const OrderPath = "/celeryhook/order"

// maxResponseBytes is the maximum size of a target's response body.
const maxResponseBytes = 16 << 20

var (
	// ErrNotSent means that nothing was sent to the target.
	ErrNotSent = errors.New("target: not sent")
	// ErrNoResponse means that no complete response was received. The target may
	// or may not have processed the request.
	ErrNoResponse = errors.New("target: no complete response")
	// ErrResponseMismatch means that the response belongs to another request.
	ErrResponseMismatch = errors.New("target: response is for another request")
)

// HTTPRequest holds the HTTP parts of a caller's request.
type HTTPRequest struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a target's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun is set if the target rejected the request before running it.
	NotRun bool
	Reason string
	// Incarnation is the target's incarnation, or 0 if the response has none.
	Incarnation uint64
}

// Client sends orders and requests to targets.
type Client struct {
	http *http.Client
	vm   core.VM
}

// NewClient returns a client that sends requests on behalf of vm. It does not
// follow redirects, as that would send a request a second time.
func NewClient(vm core.VM, client *http.Client) *Client {
	noRedirect := *client
	noRedirect.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &noRedirect, vm: vm}
}

// Order sends an order to a target. Errors wrap ErrNotSent or ErrNoResponse.
func (c *Client) Order(ctx context.Context, address string, o grant.Order) (grant.OrderReply, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return grant.OrderReply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrderPath, bytes.NewReader(body))
	if err != nil {
		return grant.OrderReply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return grant.OrderReply{}, sendError(address, err)
	}
	defer res.Body.Close()
	data, err := transport.ReadBody(res, maxResponseBytes)
	switch {
	case err != nil:
		return grant.OrderReply{}, fmt.Errorf("%w: %s: status %d: %w", ErrNoResponse, address, res.StatusCode, err)
	case res.StatusCode != http.StatusOK:
		return grant.OrderReply{}, fmt.Errorf("%w: %s: status %d", ErrNoResponse, address, res.StatusCode)
	}
	var reply grant.OrderReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return grant.OrderReply{}, fmt.Errorf("%w: %s: %w", ErrNoResponse, address, err)
	}
	return reply, nil
}

// Metadata holds the values that a front sends in the headers of a request.
type Metadata struct {
	Token    core.Token
	Range    core.RangeID
	Request  core.RequestID
	Attempt  uint32
	Deadline grant.TargetClock
	// NoRetry prevents the HTTP transport from resending the request.
	NoRetry bool
}

// Do sends a request to a target. Errors wrap ErrNotSent, ErrNoResponse or
// ErrResponseMismatch.
func (c *Client) Do(ctx context.Context, address string, call HTTPRequest, m Metadata) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(HeaderToken, m.Token.String())
	req.Header.Set(HeaderFront, string(c.vm))
	if m.Range != (core.RangeID{}) {
		req.Header.Set(HeaderRange, m.Range.String())
	}
	req.Header.Set(HeaderRequestID, string(m.Request))
	req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(m.Attempt), 10))
	req.Header.Set(HeaderDeadline, strconv.FormatInt(int64(m.Deadline), 10))
	if m.NoRetry {
		disableRetry(req, call.Body)
	}
	// The transport resends an idempotent request after a lost connection. If the
	// retry fails to connect, the first attempt may still have run.
	var written atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	}))
	res, err := c.http.Do(req)
	if err != nil && written.Load() {
		return Response{}, fmt.Errorf("%w: %s: %w", ErrNoResponse, address, err)
	}
	if err != nil {
		return Response{}, sendError(address, err)
	}
	defer res.Body.Close()
	body, err := transport.ReadBody(res, maxResponseBytes)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %s: %w", ErrNoResponse, address, err)
	}
	if got := res.Header.Get(HeaderRequestID); got != string(m.Request) {
		return Response{}, fmt.Errorf("%w: %s: wanted %q, got %q", ErrResponseMismatch, address, m.Request, got)
	}
	if got := res.Header.Get(HeaderAttempt); got != strconv.FormatUint(uint64(m.Attempt), 10) {
		return Response{}, fmt.Errorf("%w: %s: wanted attempt %d, got %q", ErrResponseMismatch, address, m.Attempt, got)
	}
	// A missing or malformed header is treated as no incarnation.
	incarnation, _ := strconv.ParseUint(res.Header.Get(HeaderIncarnation), 10, 64)
	return Response{
		Status:      res.StatusCode,
		Header:      res.Header,
		Body:        body,
		NotRun:      res.Header.Get(HeaderNotRun) == "1",
		Reason:      rejectionReason(res, body),
		Incarnation: incarnation,
	}, nil
}

// disableRetry prevents the transport from resending a request that was partly
// written. The transport does so if the body can be read again and the request
// has an idempotency header or an idempotent method. It resends other requests
// only if nothing was written, which is safe.
func disableRetry(req *http.Request, body []byte) {
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.GetBody = nil
	}
}

func rejectionReason(res *http.Response, body []byte) string {
	if res.Header.Get(HeaderNotRun) == "" {
		return ""
	}
	return string(body[:min(len(body), 200)])
}
