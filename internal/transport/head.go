package transport

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// ErrNoResponse is returned for a message whose status or framing no response has.
// Whether the request was carried out is unknown.
var ErrNoResponse = errors.New("transport: not a response")

// MaxInformational bounds the informational responses before a response.
const MaxInformational = 5

// lineStartBytes is how much of a line is kept: a status line up to its status, or a
// field name.
const lineStartBytes = 64

// HeadCheck validates the head of a response while its bytes arrive, together with
// the informational responses before it. The status must have three digits, 100 to
// 599. An informational response must not have a body: its reader would take the
// content for the next response. 101 is rejected, since nobody asks for another
// protocol. net/http accepts all of these, and removes Transfer-Encoding before its
// callers see it. The zero value checks nothing until Begin is called.
type HeadCheck struct {
	active bool
	// start holds the first n bytes of the current line.
	start [lineStartBytes]byte
	n     int
	// inFields is set after the status line of an informational response.
	inFields      bool
	informational int
	status        int
}

// Begin starts the check of the next head.
func (h *HeadCheck) Begin() { *h = HeadCheck{active: true} }

// Status returns the status of the response, or 0 before its status line is complete.
func (h *HeadCheck) Status() int { return h.status }

// Check validates the next bytes of the connection and ignores those behind the
// status line of the response. Its error wraps ErrNoResponse and concerns the line
// that ends behind the first valid bytes of b.
func (h *HeadCheck) Check(b []byte) (valid int, err error) {
	for valid < len(b) && h.active && h.status == 0 {
		line, _, complete := bytes.Cut(b[valid:], []byte{'\n'})
		h.n += copy(h.start[h.n:], line)
		if valid += len(line); !complete {
			break
		}
		if err := h.endLine(); err != nil {
			return valid, err
		}
		h.n = 0
		valid++
	}
	return len(b), nil
}

func (h *HeadCheck) endLine() error {
	line := strings.TrimSuffix(string(h.start[:h.n]), "\r")
	switch {
	case !h.inFields:
		return h.statusLine(line)
	case line == "":
		h.inFields = false
		return nil
	}
	name, _, _ := strings.Cut(line, ":")
	name = strings.TrimRight(name, " \t")
	if strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding") {
		return fmt.Errorf("%w: informational response with %s", ErrNoResponse, name)
	}
	return nil
}

func (h *HeadCheck) statusLine(line string) error {
	_, rest, _ := strings.Cut(line, " ")
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := parseStatus(text)
	switch {
	case err != nil:
		return err
	case status >= 200:
		h.status = status
		return nil
	}
	h.inFields = true
	if h.informational++; h.informational > MaxInformational {
		return fmt.Errorf("%w: over %d informational responses", ErrNoResponse, MaxInformational)
	}
	return nil
}

// parseStatus returns the number of three digits between 100 and 599.
func parseStatus(s string) (int, error) {
	if len(s) != 3 {
		return 0, fmt.Errorf("%w: status %q", ErrNoResponse, s)
	}
	status := 0
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("%w: status %q", ErrNoResponse, s)
		}
		status = 10*status + int(c-'0')
	}
	if status < 100 || status > 599 || status == 101 {
		return 0, fmt.Errorf("%w: status %q", ErrNoResponse, s)
	}
	return status, nil
}
