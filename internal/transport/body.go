package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrBodyTooLarge is returned for a response body that is longer than its limit.
// What was read of it is not a complete response.
var ErrBodyTooLarge = errors.New("transport: response body is too large")

// ReadBody reads a complete response body of at most limit bytes. Unlike a read
// through io.LimitReader, it fails if the body doesn't end by then, so that no
// caller takes the beginning of a body for the whole.
func ReadBody(res *http.Response, limit int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(nil, res.Body, limit))
	return b, bodyError(err)
}

// DiscardBody reads a complete response body like ReadBody, and keeps nothing of it.
func DiscardBody(res *http.Response, limit int64) error {
	_, err := io.Copy(io.Discard, http.MaxBytesReader(nil, res.Body, limit))
	return bodyError(err)
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return fmt.Errorf("%w: more than %d bytes", ErrBodyTooLarge, tooLarge.Limit)
	}
	return fmt.Errorf("transport: read response body: %w", err)
}

// LimitBodies returns a client that uses the same connections and fails to read a
// response body beyond limit bytes. It is for libraries that read bodies themselves.
func LimitBodies(c *http.Client, limit int64) *http.Client {
	limited := *c
	limited.Transport = bodyLimit{next: c.Transport, limit: limit}
	return &limited
}

type bodyLimit struct {
	next  http.RoundTripper
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (l bodyLimit) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := l.next.RoundTrip(r)
	if err == nil {
		res.Body = http.MaxBytesReader(nil, res.Body, l.limit)
	}
	return res, err
}
