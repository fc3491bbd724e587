package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/transport"
)

const (
	// maxResponseBytes bounds a response's body, which is read into memory so that
	// a truncated response is never forwarded to the caller as complete.
	maxResponseBytes = 16 << 20
	// maxHeadBytes bounds the status line and header of a response, informational
	// responses included.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head. Each takes about 75 bytes once it is
	// decoded, however short it is.
	maxHeadLines = 1000
	// maxFramingBytes bounds chunk sizes, chunk extensions and trailers in
	// addition to the body: a response in chunks of 64 bytes still fits.
	maxFramingBytes = maxHeadBytes + maxResponseBytes/8
	// smallBodyBytes is the part of a body that is read also if the memory account is
	// full: the request may have run, and can't be rejected any more.
	smallBodyBytes = 256 << 10
	// bodyMemory is the memory for bodies of a client that has no account of the
	// process.
	bodyMemory = 48 << 20
	// bufferFactor bounds the memory of a buffer that grows, as a multiple of what was
	// read into it: it doubles, and the previous one is held while it is copied.
	bufferFactor = 3
)

// errTooLong is returned by a read beyond the limit of a connection.
var errTooLong = errors.New("upstream: response too long")

// limitedConn is a connection from which a limited number of bytes is read.
type limitedConn struct {
	net.Conn
	remaining int64
	head      headLines
	status    transport.HeadCheck
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.remaining)])
	c.remaining -= int64(n)
	if err := c.checkHead(b[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// checkHead checks the next bytes of a head and ignores those behind it.
func (c *limitedConn) checkHead(b []byte) error {
	if err := c.head.add(b); err != nil {
		return err
	}
	_, err := c.status.Check(b)
	return err
}

// beginHead starts to count the lines and to validate the status of the next head, of
// which a part may be buffered, and waits for its first byte.
func (c *conn) beginHead() error {
	c.limit.head = headLines{}
	c.limit.status.Begin()
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never more than there is
	if err := c.limit.checkHead(buffered); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return err
}

// headLines counts the lines of a head as its bytes arrive. It ignores bytes behind
// the empty line that ends the head.
type headLines struct {
	count int
	// text is set if the current line isn't empty so far.
	text, ended bool
}

// add counts the lines that end in b. It returns an error if there are too many.
func (h *headLines) add(b []byte) error {
	for len(b) > 0 && !h.ended {
		line, rest, complete := bytes.Cut(b, []byte{'\n'})
		h.text = h.text || len(bytes.Trim(line, "\r")) > 0
		switch {
		case !complete:
			return nil
		case !h.text:
			h.ended = true
			return nil
		}
		if h.count++; h.count > maxHeadLines {
			return fmt.Errorf("%w: over %d lines in a head", errTooLong, maxHeadLines)
		}
		h.text, b = false, rest
	}
	return nil
}

// readBody reads the complete body of a response. The memory for it must fit into the
// charge.
func readBody(res *http.Response, held *memory.Charge) ([]byte, error) {
	switch {
	case res.Body == http.NoBody:
		return nil, nil
	case res.ContentLength > maxResponseBytes:
		return nil, fmt.Errorf("%w: over %d bytes", errTooLong, maxResponseBytes)
	case res.ContentLength >= 0:
		if err := holdBody(held, 0, res.ContentLength); err != nil {
			return nil, err
		}
		b := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, b)
		return b, err
	}
	var b bytes.Buffer
	for {
		before := int64(b.Len())
		n, err := io.CopyN(&b, res.Body, smallBodyBytes)
		held := holdBody(held, before*bufferFactor, n*bufferFactor)
		switch {
		case errors.Is(err, io.EOF):
			return b.Bytes(), held
		case err != nil:
			return nil, err
		case b.Len() > maxResponseBytes:
			return nil, fmt.Errorf("%w: over %d bytes", errTooLong, maxResponseBytes)
		case held != nil:
			return nil, held
		}
	}
}

// holdBody adds n bytes of a body to a charge that holds a number of bytes of it
// already.
func holdBody(held *memory.Charge, before, n int64) error {
	if small := min(n, smallBodyBytes-before); small > 0 {
		held.AddAlways(small)
		n -= small
	}
	if n > 0 && !held.Add(n) {
		return fmt.Errorf("%w: %d bytes more than the memory left", errTooLong, n)
	}
	return nil
}
