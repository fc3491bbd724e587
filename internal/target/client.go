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
)

// Headers of requests to targets and of their responses.
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

// OrderPath is where targets take orders.
const OrderPath = "/celeryhook/order"

// maxResponseBytes bounds the body of a target's response.
const maxResponseBytes = 16 << 20

var (
	// ErrNotSent says that nothing was sent to the target.
	ErrNotSent = errors.New("target: not sent")
	// ErrNoResponse says that the target may or may not have acted.
	ErrNoResponse = errors.New("target: no whole response")
	// ErrCrossed says that the response belongs to another request.
	ErrCrossed = errors.New("target: response is for another request")
)

// Call is the HTTP side of a caller's request.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a target's whole response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun is set if the target refused the request before running it.
	NotRun bool
	Reason string
	// Incarnation is the target's, 0 if the response has none.
	Incarnation uint64
}

// Client sends orders and requests to targets.
type Client struct {
	http *http.Client
	vm   core.VM
}

// NewClient returns a client of a VM. It follows no redirect, which would send
// a request a second time.
func NewClient(vm core.VM, client *http.Client) *Client {
	once := *client
	once.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &once, vm: vm}
}

// Order sends an order. An error wraps ErrNotSent or ErrNoResponse.
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil || res.StatusCode != http.StatusOK {
		return grant.OrderReply{}, fmt.Errorf("%w: %s: status %d: %w", ErrNoResponse, address, res.StatusCode, err)
	}
	var reply grant.OrderReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return grant.OrderReply{}, fmt.Errorf("%w: %s: %w", ErrNoResponse, address, err)
	}
	return reply, nil
}

// Stamp is what a front adds to a request.
type Stamp struct {
	Token    core.Token
	Range    core.RangeID
	Request  core.RequestID
	Attempt  uint32
	Deadline grant.TargetClock
	// Once forbids the transport to send the request again by itself.
	Once bool
}

// Do sends a request. An error wraps ErrNotSent, ErrNoResponse or ErrCrossed.
func (c *Client) Do(ctx context.Context, address string, call Call, s Stamp) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(HeaderToken, s.Token.String())
	req.Header.Set(HeaderFront, string(c.vm))
	if s.Range != (core.RangeID{}) {
		req.Header.Set(HeaderRange, s.Range.String())
	}
	req.Header.Set(HeaderRequestID, string(s.Request))
	req.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(s.Attempt), 10))
	req.Header.Set(HeaderDeadline, strconv.FormatInt(int64(s.Deadline), 10))
	if s.Once {
		forbidRepeat(req, call.Body)
	}
	// The transport repeats an idempotent request whose connection was lost. If
	// the repeat can't connect, the first one may have run all the same.
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
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return Response{}, fmt.Errorf("%w: %s: body: %w", ErrNoResponse, address, err)
	case len(body) > maxResponseBytes:
		return Response{}, fmt.Errorf("%w: %s: body exceeds %d bytes", ErrNoResponse, address, maxResponseBytes)
	}
	if got := res.Header.Get(HeaderRequestID); got != string(s.Request) {
		return Response{}, fmt.Errorf("%w: %s: wanted %q, got %q", ErrCrossed, address, s.Request, got)
	}
	if got := res.Header.Get(HeaderAttempt); got != strconv.FormatUint(uint64(s.Attempt), 10) {
		return Response{}, fmt.Errorf("%w: %s: wanted attempt %d, got %q", ErrCrossed, address, s.Attempt, got)
	}
	// A header that is missing or malformed counts as no incarnation.
	incarnation, _ := strconv.ParseUint(res.Header.Get(HeaderIncarnation), 10, 64)
	return Response{
		Status:      res.StatusCode,
		Header:      res.Header,
		Body:        body,
		NotRun:      res.Header.Get(HeaderNotRun) == "1",
		Reason:      reasonOf(res, body),
		Incarnation: incarnation,
	}, nil
}

// forbidRepeat keeps the transport from sending a request again after a part
// of it was written. It does so for a request with one of these headers or a
// method such as GET if the body can be read again. For other requests it only
// repeats one of which nothing was written, which is safe.
func forbidRepeat(req *http.Request, body []byte) {
	req.Header.Del("Idempotency-Key")
	req.Header.Del("X-Idempotency-Key")
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.GetBody = nil
	}
}

func reasonOf(res *http.Response, body []byte) string {
	if res.Header.Get(HeaderNotRun) == "" {
		return ""
	}
	return string(body[:min(len(body), 200)])
}
