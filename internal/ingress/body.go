package ingress

import (
	"errors"
	"io"

	"celeryhook.example/celeryhook/internal/memory"
)

const (
	// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
	defaultMaxBodyBytes = 64 << 20
	// firstBodyBytes and bodyGrowth are the largest first size of the buffer for a body of
	// unknown length, and the factor by which it grows. About a quarter of the final size
	// is held in addition while the buffer is copied.
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
)

// errBodyMemory is returned if there is no memory for a body of unknown length.
var errBodyMemory = errors.New("ingress: no memory for the body")

// readAll reads a complete body, which ends after at most limit bytes. The charge must
// hold the length already if it is known; otherwise the length is -1.
func readAll(body io.Reader, length, limit int64, held *memory.Charge) ([]byte, error) {
	if length >= 0 {
		b := make([]byte, length)
		n, err := io.ReadFull(body, b)
		if err != nil {
			return b[:n], err
		}
		// Reads the end of the body, so that the connection can be used again.
		_, err = io.ReadFull(body, make([]byte, 1))
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return b, err
	}
	// One byte more than the limit, for the read that finds the end.
	limit++
	// The sizes are those that lead to the limit: with others, the last copy may be of a
	// buffer that is hardly smaller than the new one.
	first := limit
	for first > firstBodyBytes {
		first = (first + bodyGrowth - 1) / bodyGrowth
	}
	var b []byte
	for size := first; ; size = min(size*bodyGrowth, limit) {
		if !held.AddBody(size) {
			return nil, errBodyMemory
		}
		grown := make([]byte, size)
		n := copy(grown, b)
		held.Sub(int64(cap(b)))
		b = grown
		for n < len(b) {
			m, err := body.Read(b[n:])
			n += m
			// A body that breaks off ends with another error than io.EOF.
			if errors.Is(err, io.EOF) {
				return b[:n], nil
			}
			if err != nil {
				return nil, err
			}
		}
	}
}
