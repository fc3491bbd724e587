package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/protocol"
	"celeryhook.example/celeryhook/internal/transport"
)

// Request is a request to one target.
type Request struct {
	Address string
	// Service is the service of the target. Its targets are expected to treat idle
	// connections alike.
	Service string
	// Target is the id of the process that must respond.
	Target string
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Timeout is sent to the target as the remaining time of the request.
	Timeout time.Duration
	// MaxIdle bounds the number of idle connections to the target.
	MaxIdle int
	// Held is charged for the response's body. If it is nil, the memory of the body is
	// held only until Do returns.
	Held *memory.Charge
}

// Response is a target's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamped is set if the response carries the target's signature.
	Stamped bool
	// NotRun is set if the target states that the request did not run.
	NotRun bool
	// OtherProcess is set if another process than the expected one responded.
	OtherProcess bool
}

// Errors of an exchange. The texts of ErrIncomplete and ErrConnectionLost are
// part of responses to callers.
var (
	// ErrNotSent: no byte of the request was written.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrTurnedAway: the target closed a new connection before anything was sent
	// on it, as targets do that have too many connections or too long a queue. It
	// wraps ErrNotSent.
	ErrTurnedAway = fmt.Errorf("%w: turned away", ErrNotSent)
	// ErrConnRefused: nothing accepts connections at the address.
	ErrConnRefused = errors.New("upstream: connection refused")
	// ErrIncomplete: the response is truncated or malformed, or its status isn't one.
	ErrIncomplete = errors.New("upstream: answer incomplete")
	// ErrConnectionLost: the connection ended before a response began.
	ErrConnectionLost = errors.New("upstream: connection broken")
)

// maxMismatches is how many responses to other requests are skipped on a
// connection before it is closed.
const maxMismatches = 3

// Client exchanges requests with targets.
type Client struct {
	pool    *Pool
	headers *protocol.Headers
	memory  *memory.Account
}

// NewClient returns a client that uses the pool and the account of the process. If the
// account is nil, it has one of its own.
func NewClient(p *Pool, h *protocol.Headers, account *memory.Account) *Client {
	if account == nil {
		account = memory.NewAccount(bodyMemory)
	}
	return &Client{pool: p, headers: h, memory: account}
}

// Do sends a request and reads its response. When ctx ends, it closes the
// connection, on which most targets stop their work. An error that wraps
// ErrNotSent proves that the target received no byte of the request.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	key := poolKey(r.Address, r.Target)
	cn := c.pool.get(key, r.Service, r.ID)
	if cn == nil {
		var err error
		if cn, err = c.pool.dial(ctx, r.Address, key); err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
				return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrConnRefused, err)
			}
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err := cn.settle(c.pool.settleTime); err != nil {
			_ = cn.Close()
			return nil, fmt.Errorf("%w: %w", ErrTurnedAway, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	sentAt := time.Now()
	resp, reusable, err := c.exchange(cn, r)
	if errors.Is(err, ErrConnectionLost) && ctx.Err() == nil {
		c.pool.lost(cn, r.Service, time.Since(sentAt))
	}
	switch stopped := stop(); {
	case !stopped || err != nil:
		// Bytes that a partition holds up must not reach the target later.
		transport.ResetOnClose(cn.Conn)
		_ = cn.Close()
	case !reusable:
		_ = cn.Close()
	default:
		c.pool.put(cn, r.MaxIdle)
	}
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return resp, err
}

func (c *Client) exchange(cn *conn, r *Request) (resp *Response, reusable bool, err error) {
	if n, err := c.write(cn, r); err != nil {
		if n == 0 {
			return nil, false, fmt.Errorf("%w: write: %w", ErrNotSent, err)
		}
		return nil, false, fmt.Errorf("%w: write: %w", ErrConnectionLost, err)
	}
	cn.limit.remaining = maxHeadBytes
	for range maxMismatches {
		resp, reusable, err = c.read(cn, r)
		if err != nil || resp != nil {
			return resp, reusable, err
		}
	}
	return nil, false, fmt.Errorf("%w: only responses to other requests", ErrIncomplete)
}

// readHead reads the head of a response and skips informational responses before it.
func (cn *conn) readHead(method string) (*http.Response, error) {
	for range transport.MaxInformational + 1 {
		switch err := cn.beginHead(); {
		case errors.Is(err, errTooLong), errors.Is(err, transport.ErrNoResponse):
			return nil, fmt.Errorf("%w: header: %w", ErrIncomplete, err)
		case err != nil:
			return nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
		}
		res, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: header: %w", ErrIncomplete, err)
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, fmt.Errorf("%w: over %d informational responses", ErrIncomplete, transport.MaxInformational)
}

// read reads one response. It returns nil for a response to another request.
func (c *Client) read(cn *conn, r *Request) (*Response, bool, error) {
	res, err := cn.readHead(r.Method)
	if err != nil {
		return nil, false, err
	}
	cn.limit.remaining = maxResponseBytes + maxFramingBytes
	held := r.Held
	if held == nil {
		held = c.memory.NewCharge()
		defer held.Release()
	}
	body, err := readBody(res, held)
	if err != nil {
		return nil, false, fmt.Errorf("%w: body: %w", ErrIncomplete, err)
	}
	_ = res.Body.Close()
	cn.limit.remaining = maxHeadBytes
	delimited := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	id := res.Header.Get(c.headers.RequestID)
	if id == "" && r.ID != "" {
		// It may belong to an earlier request on the connection, whatever its status.
		return nil, false, fmt.Errorf("%w: status %d without a request id", ErrIncomplete, res.StatusCode)
	}
	if id != "" && id != r.ID {
		if !delimited || res.Close {
			return nil, false, fmt.Errorf("%w: response to another request closes the connection", ErrIncomplete)
		}
		return nil, false, nil
	}
	resp := &Response{
		Status: res.StatusCode, Header: res.Header, Body: body,
		Stamped: res.Header.Get(c.headers.Stamp) != "",
		NotRun:  res.Header.Get(c.headers.NotRun) != "",
	}
	if id := res.Header.Get(c.headers.Target); id != "" && id != r.Target && res.StatusCode == http.StatusMisdirectedRequest {
		resp.OtherProcess = true
	}
	cn.idleTimeout = keepAliveTimeout(res.Header)
	if resp.NotRun || resp.OtherProcess || resp.Status == http.StatusMisdirectedRequest {
		cn.refused = append(cn.refused, r.ID)
	}
	return resp, delimited && !res.Close && cn.reader.Buffered() == 0 && len(cn.refused) < maxRefused, nil
}

// keepAliveTimeout returns how long the connection may be idle in the pool.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return max(0, time.Duration(n)*time.Second-idleMargin)
			}
		}
	}
	return defaultIdleTimeout
}

// maxCopiedBody is the largest body that is copied behind the head. Copies of larger
// ones, one for each attempt, would exceed the memory of a small VM.
const maxCopiedBody = 16 << 10

// write writes a request and returns the number of bytes written.
func (c *Client) write(cn *conn, r *Request) (int64, error) {
	b := c.encode(r)
	if len(r.Body) > maxCopiedBody {
		parts := net.Buffers{b, r.Body}
		return parts.WriteTo(cn.Conn)
	}
	n, err := cn.Write(b)
	return int64(n), err
}

// encode returns the head of a request, followed by the body if that is at most
// maxCopiedBody long.
func (c *Client) encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxCopiedBody))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer returns no error
	b.WriteString(c.headers.Deadline + ": " + c.headers.FormatDeadline(r.Timeout) + "\r\n")
	b.WriteString(c.headers.ExpectTarget + ": " + r.Target + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxCopiedBody {
		b.Write(r.Body)
	}
	return b.Bytes()
}

// Health sends a health check to a target on a connection of its own.
func (c *Client) Health(ctx context.Context, address, path string) (*Response, error) {
	cn, err := c.pool.dial(ctx, address, "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = cn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := fmt.Fprintf(cn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return nil, fmt.Errorf("upstream: health: %w", err)
	}
	cn.limit.remaining = maxHeadBytes
	resp, _, err := c.read(cn, &Request{Method: http.MethodGet})
	if err == nil && resp == nil {
		err = fmt.Errorf("%w: health", ErrIncomplete)
	}
	return resp, err
}

// IsTimeout reports whether an exchange ended because its deadline passed.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
