package inbound

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"syscall"
)

const (
	// DefaultHeadBytes bounds a head if the configuration sets no limit.
	DefaultHeadBytes = 64 << 10
	// HeadSlack is added to the limit, as net/http does.
	HeadSlack = 4 << 10
	// SmallHead is the memory in bytes up to which a head may use what bodies and large
	// heads leave free of an account.
	SmallHead = 32 << 10
	// MaxEmptyLines bounds the empty lines before the first request of a connection.
	MaxEmptyLines = 16
	// lineCost and byteCost are the memory in bytes that a line and a byte of a
	// head take: decoded, copied for the target, and encoded again.
	lineCost = 256
	byteCost = 3
)

// ErrHead is returned by a read of a head that exceeds a bound. The HTTP server
// responds to it with status 400.
var ErrHead = errors.New("inbound: head out of bounds")

// ErrMemory is returned by a read of a head for which there is no memory. The HTTP
// server closes the connection without a response.
var ErrMemory error = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ENOMEM}

// Head observes the bytes of heads as the HTTP server reads them. Heads are
// delimited by the calls of Begin and End, since the server may have read the start of
// a head with the request before it.
type Head struct {
	// active is set while the server reads a head.
	active bool
	// atStart is set until the first request of the connection begins.
	atStart, started bool
	empty, lines     int
	// size is the number of bytes of the head, and limit how many it may have.
	size, limit int64
	// text is set if the current line isn't empty so far, and ended if an empty line
	// has ended the head.
	text, ended bool
	costs       []int64
}

// Begin is called before a head is read.
func (h *Head) Begin() {
	*h = Head{active: true, atStart: !h.started, started: true}
}

// End is called when the head is complete. It returns what Read has returned since Begin.
func (h *Head) End() []int64 {
	costs := h.costs
	h.active, h.costs = false, nil
	return costs
}

// SkipEmptyLines returns b without the empty lines before the first request.
func (h *Head) SkipEmptyLines(b []byte) []byte {
	if !h.active || !h.atStart {
		return b
	}
	rest := bytes.TrimLeft(b, "\r\n")
	h.empty += bytes.Count(b[:len(b)-len(rest)], []byte{'\n'})
	if len(rest) > 0 {
		h.atStart = false
	}
	return rest
}

// Limit sets the limit of a head of which nothing has been read.
func (h *Head) Limit(limit func() int64) {
	if h.active && h.size == 0 {
		h.limit = limit()
	}
}

// Read records bytes that the server reads, and returns the memory in bytes that they
// take until the end of the head.
func (h *Head) Read(b []byte) int64 {
	if !h.active {
		return 0
	}
	lines := h.lines
	for rest := b; len(rest) > 0 && !h.ended; {
		line, after, complete := bytes.Cut(rest, []byte{'\n'})
		h.size += int64(len(rest) - len(after))
		h.text = h.text || len(bytes.Trim(line, "\r")) > 0
		if !complete {
			break
		}
		h.ended = !h.text && h.lines > 0
		h.lines++
		h.text, rest = false, after
	}
	cost := int64(len(b))*byteCost + int64(h.lines-lines)*lineCost
	h.costs = append(h.costs, cost)
	return cost
}

// Complete reports whether everything of the head has been read.
func (h *Head) Complete() bool { return h.ended }

// Check returns an error if the server reads on although the head is over its limit. A
// head that is complete isn't checked: what follows its end is not part of it.
func (h *Head) Check() error {
	if h.active && !h.ended && h.size > h.limit {
		return ErrHead
	}
	return nil
}

// CheckEmptyLines returns an error if there are too many empty lines before the first
// request.
func (h *Head) CheckEmptyLines() error {
	if h.empty > MaxEmptyLines {
		return ErrHead
	}
	return nil
}

// LargestCost returns the memory in bytes that a head of the given size takes if all its
// lines are as short as possible.
func LargestCost(size int) int64 {
	const shortestLine = 3 // a name of one letter, a colon and a line feed
	size += HeadSlack
	return int64(size)*byteCost + int64(size/shortestLine)*lineCost
}

// HeadCost returns the memory in bytes that a header takes.
func HeadCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		for _, v := range values {
			lines++
			size += len(name) + len(v)
		}
	}
	return int64(size)*byteCost + int64(lines)*lineCost
}
