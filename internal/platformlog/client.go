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
	"celeryhook.example/celeryhook/internal/transport"
)

// Entry is an encoded record with its offset in the log.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page holds consecutive entries. First is the oldest offset that the log still
// holds; a reader that needs an older one has a gap.
type Page struct {
	First   uint64  `json:"first"`
	Entries []Entry `json:"entries"`
}

// LiveVM is an entry of the platform's list of VMs, which may be out of date.
type LiveVM struct {
	ID            core.VM            `json:"id"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	Address       string             `json:"address"`
	Leaving       bool               `json:"leaving"`
}

// Log is the interface to the platform.
type Log interface {
	// Append appends a record and returns its offset. After an error the record
	// may have been appended or not, unless the error wraps ErrRejected or
	// ErrNotSent.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns up to limit entries from an offset on. It blocks for up to
	// wait until there is one.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]LiveVM, error)
}

var (
	// ErrUnavailable is wrapped by every failure to reach the platform or to read
	// its response.
	ErrUnavailable = errors.New("platformlog: platform unavailable")
	// ErrRejected means that the platform rejected a request and did nothing.
	ErrRejected = errors.New("platformlog: platform rejected the request")
	// ErrNotSent means that no connection was established, so that the platform
	// did nothing. It is wrapped together with ErrUnavailable.
	ErrNotSent = errors.New("platformlog: request not sent")
)

// maxResponseBytes limits how much of a response of the platform is read.
const maxResponseBytes = 64 << 20

// HTTPLog is the client of the platform's HTTP interface.
type HTTPLog struct {
	base   string
	client *http.Client
}

// NewHTTPLog returns a client of the platform at a base URL.
func NewHTTPLog(base string, client *http.Client) *HTTPLog {
	return &HTTPLog{base: base, client: client}
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, data []byte) (uint64, error) {
	var response struct {
		Offset uint64 `json:"offset"`
	}
	err := l.do(ctx, http.MethodPost, "/log", bytes.NewReader(data), &response)
	return response.Offset, err
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
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	res, err := l.client.Do(req)
	if err != nil {
		return unavailable(method, path, err)
	}
	defer res.Body.Close()
	data, err := transport.ReadBody(res, maxResponseBytes)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	case res.StatusCode >= 400 && res.StatusCode < 500:
		return fmt.Errorf("%w: %s %s: status %d: %s", ErrRejected, method, path, res.StatusCode, data)
	case res.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: %s %s: status %d", ErrUnavailable, method, path, res.StatusCode)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	return nil
}

func unavailable(method, path string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w: %s %s: %w", ErrUnavailable, ErrNotSent, method, path, err)
	}
	return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
}
