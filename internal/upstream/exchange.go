package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/internal/protocol"
)

// Request is one attempt at a target.
type Request struct {
	Address string
	// Target is the id of the process that must answer.
	Target string
	ID     string
	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Wait is how long the target may work.
	Wait time.Duration
	// MaxIdle bounds the idle connections kept to the target.
	MaxIdle int
}

// Answer is a target's complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamped is set if the answer bears the target's signature.
	Stamped bool
	// NotRun is set if the target says that the request did not run.
	NotRun bool
	// OtherProcess is set if another process than the expected one answered.
	OtherProcess bool
}

// Errors of an exchange.
var (
	// ErrNotSent: no byte of the request was written.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrRefused: nothing accepts connections at the address.
	ErrRefused = errors.New("upstream: connection refused")
	// ErrIncomplete: the answer ended early, or isn't one.
	ErrIncomplete = errors.New("upstream: answer incomplete")
	// ErrBroken: the connection ended before an answer began.
	ErrBroken = errors.New("upstream: connection broken")
)

const (
	// maxAnswer bounds an answer's body, which is held in memory so that a cut
	// answer never looks complete to the caller.
	maxAnswer = 16 << 20
	// maxForeign is how many answers to other requests are skipped on a
	// connection before it is given up.
	maxForeign = 3
)

// Client exchanges requests with targets.
type Client struct {
	pool    *Pool
	headers *protocol.Headers
}

// NewClient returns a client that uses the pool.
func NewClient(p *Pool, d *protocol.Headers) *Client { return &Client{pool: p, headers: d} }

// Do sends a request and reads its answer. Until ctx ends the target may work;
// then the connection is closed, which makes most targets stop. An error that
// wraps ErrNotSent proves that the target got nothing.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	key := poolKey(r.Address, r.Target)
	cn := c.pool.take(key)
	if cn == nil {
		var err error
		if cn, err = c.pool.dial(ctx, r.Address, key); err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
				return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrRefused, err)
			}
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	a, reusable, err := c.exchange(cn, r)
	if !stop() || err != nil || !reusable {
		_ = cn.Close()
	} else {
		c.pool.put(cn, r.MaxIdle)
	}
	if err != nil && ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", context.Cause(ctx), err)
	}
	return a, err
}

func (c *Client) exchange(cn *conn, r *Request) (a *Answer, reusable bool, err error) {
	if n, err := cn.Write(c.encode(r)); err != nil {
		if n == 0 {
			return nil, false, fmt.Errorf("%w: write: %w", ErrNotSent, err)
		}
		return nil, false, fmt.Errorf("%w: write: %w", ErrBroken, err)
	}
	for range maxForeign {
		a, reusable, err = c.read(cn, r)
		if err != nil || a != nil {
			return a, reusable, err
		}
	}
	return nil, false, fmt.Errorf("%w: only answers to other requests", ErrIncomplete)
}

// read reads one answer. It returns nil for one to another request.
func (c *Client) read(cn *conn, r *Request) (*Answer, bool, error) {
	if _, err := cn.reader.Peek(1); err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	res, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
	if err != nil {
		return nil, false, fmt.Errorf("%w: head: %w", ErrIncomplete, err)
	}
	if res.StatusCode < http.StatusOK {
		return nil, false, nil
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	_ = res.Body.Close()
	if err != nil {
		return nil, false, fmt.Errorf("%w: body: %w", ErrIncomplete, err)
	}
	if len(body) > maxAnswer {
		return nil, false, fmt.Errorf("%w: body over %d bytes", ErrIncomplete, maxAnswer)
	}
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	id := res.Header.Get(c.headers.RequestID)
	if id == "" && r.ID != "" && res.StatusCode < http.StatusMultipleChoices {
		return nil, false, fmt.Errorf("%w: status %d without a request id", ErrIncomplete, res.StatusCode)
	}
	if id != "" && id != r.ID {
		if !framed || res.Close {
			return nil, false, fmt.Errorf("%w: answer to another request ends the connection", ErrIncomplete)
		}
		return nil, false, nil
	}
	a := &Answer{
		Status: res.StatusCode, Header: res.Header, Body: body,
		Stamped: res.Header.Get(c.headers.Stamp) != "",
		NotRun:  res.Header.Get(c.headers.NotRun) != "",
	}
	if id := res.Header.Get(c.headers.Target); id != "" && id != r.Target && res.StatusCode == http.StatusMisdirectedRequest {
		a.OtherProcess = true
	}
	cn.keep = keepTime(res.Header)
	return a, framed && !res.Close && cn.reader.Buffered() == 0, nil
}

// keepTime returns how long the connection may be idle here.
func keepTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return max(0, time.Duration(n)*time.Second-idleMargin)
			}
		}
	}
	return defaultIdle
}

// encode returns the bytes of a request.
func (c *Client) encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer returns no error
	b.WriteString(c.headers.Deadline + ": " + c.headers.FormatDeadline(r.Wait) + "\r\n")
	b.WriteString(c.headers.ExpectTarget + ": " + r.Target + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Health asks a target for its health on a connection of its own.
func (c *Client) Health(ctx context.Context, address, path string) (*Answer, error) {
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
	a, _, err := c.read(cn, &Request{Method: http.MethodGet})
	if err == nil && a == nil {
		err = fmt.Errorf("%w: health", ErrIncomplete)
	}
	return a, err
}

// IsTimeout reports whether an exchange ended because its time was over.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
