package ingress

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"syscall"
)

const (
	// defaultHeadBytes bounds a head if the configuration sets no limit.
	defaultHeadBytes = 64 << 10
	// headBytesSlack is added to the limit, as net/http does.
	headBytesSlack = 4 << 10
	// maxEmptyLines bounds the empty lines before the first request of a connection.
	maxEmptyLines = 16
	// headLineCost and headByteCost are the memory in bytes that a line and a byte of a
	// head take: decoded, copied for the target, and encoded again.
	headLineCost = 256
	headByteCost = 3
)

// errHead is returned by a read of a head that exceeds a bound. The HTTP server
// responds to it with status 400.
var errHead = errors.New("ingress: head out of bounds")

// errMemoryFull is returned by a read of a head for which there is no memory. The
// HTTP server closes the connection without a response.
var errMemoryFull = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ENOMEM}

// headReader observes the bytes of heads as the HTTP server reads them. Heads are
// delimited by the calls of begin and end, since the server may have read the start of
// a head with the request before it.
type headReader struct {
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

// begin is called before a head is read.
func (h *headReader) begin() {
	*h = headReader{active: true, atStart: !h.started, started: true}
}

// end is called when the head is complete. It returns what read has returned since begin.
func (h *headReader) end() []int64 {
	costs := h.costs
	h.active, h.costs = false, nil
	return costs
}

// skipEmptyLines returns b without the empty lines before the first request.
func (h *headReader) skipEmptyLines(b []byte) []byte {
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

// read records bytes that the server reads, and returns the memory in bytes that they
// take until the end of the head.
func (h *headReader) read(b []byte) int64 {
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
	cost := int64(len(b))*headByteCost + int64(h.lines-lines)*headLineCost
	h.costs = append(h.costs, cost)
	return cost
}

// check returns an error if the server reads on although the head is over its limit. A
// head that is complete isn't checked: what follows its end is not part of it.
func (h *headReader) check() error {
	if h.active && !h.ended && h.size > h.limit {
		return errHead
	}
	return nil
}

// checkEmptyLines returns an error if there are too many empty lines before the first
// request.
func (h *headReader) checkEmptyLines() error {
	if h.empty > maxEmptyLines {
		return errHead
	}
	return nil
}

// headCost returns the memory in bytes that a header takes.
func headCost(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		for _, v := range values {
			lines++
			size += len(name) + len(v)
		}
	}
	return int64(size)*headByteCost + int64(lines)*headLineCost
}
