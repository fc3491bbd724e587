package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Entry is a record as the log holds it.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is a run of entries. First is the smallest offset that the log still
// holds; a reader that needs an older one has a gap.
type Page struct {
	First   uint64  `json:"first"`
	Entries []Entry `json:"entries"`
}

// LiveVM is an entry of the platform's list of VMs, which lags.
type LiveVM struct {
	ID            core.VM            `json:"id"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	Address       string             `json:"address"`
	Leaving       bool               `json:"leaving"`
}

// Log is what the product needs of the platform.
type Log interface {
	// Append adds a record and returns its offset. An error leaves open
	// whether the record was added, unless it wraps ErrRefused.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns up to limit entries from an offset on. It waits up to wait for
	// the first one.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
	// VMs returns the platform's list.
	VMs(ctx context.Context) ([]LiveVM, error)
}

var (
	// ErrUnavailable wraps every failure to reach the platform or read its answer.
	ErrUnavailable = errors.New("platformlog: platform unavailable")
	// ErrRefused says that the platform refused a request and did nothing.
	ErrRefused = errors.New("platformlog: platform refused the request")
	// ErrNotSent says that no connection was made, so that the platform did
	// nothing. It comes with ErrUnavailable.
	ErrNotSent = errors.New("platformlog: request was not sent")
)

// maxAnswerBytes bounds what is read of one answer of the platform.
const maxAnswerBytes = 64 << 20

// HTTPLog is the client of the platform's HTTP interface.
type HTTPLog struct {
	base   string
	client *http.Client
}

// NewHTTPLog returns a client for the platform at a base URL.
func NewHTTPLog(base string, client *http.Client) *HTTPLog {
	return &HTTPLog{base: base, client: client}
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, data []byte) (uint64, error) {
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	err := l.do(ctx, http.MethodPost, "/log", bytes.NewReader(data), &answer)
	return answer.Offset, err
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"max":     {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page Page
	err := l.do(ctx, http.MethodGet, "/log?"+query.Encode(), nil, &page)
	return page, err
}

// VMs implements Log.
func (l *HTTPLog) VMs(ctx context.Context) ([]LiveVM, error) {
	var vms []LiveVM
	err := l.do(ctx, http.MethodGet, "/vms", nil, &vms)
	return vms, err
}

func (l *HTTPLog) do(ctx context.Context, method, path string, body io.Reader, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, l.base+path, body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	res, err := l.client.Do(req)
	if err != nil {
		return unreachable(method, path, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	case res.StatusCode >= 400 && res.StatusCode < 500:
		return fmt.Errorf("%w: %s %s: status %d: %s", ErrRefused, method, path, res.StatusCode, data)
	case res.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: %s %s: status %d", ErrUnavailable, method, path, res.StatusCode)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	return nil
}

func unreachable(method, path string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w: %s %s: %w", ErrUnavailable, ErrNotSent, method, path, err)
	}
	return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
}
