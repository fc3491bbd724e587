package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// link is a path to a server that can be cut. While it is cut nothing passes, and
// connections to it hang.
type link struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open chan struct{} // closed while the link isn't cut
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := &link{listener: listener, target: target, open: make(chan struct{})}
	close(l.open)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(c)
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

func (l *link) close() {
	_ = l.listener.Close()
}

// wait waits until the link isn't cut and reports whether it had to.
func (l *link) wait() bool {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	select {
	case <-open:
		return false
	default:
	}
	<-open
	return true
}

func (l *link) connect(c net.Conn) {
	l.wait()
	to, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	go l.copy(to, c)
	l.copy(c, to)
}

// settleTime is how long after a cut a connection is read to the end, to find out
// whether its sender has reset it meanwhile.
const settleTime = 20 * time.Millisecond

// copy passes on bytes until one side ends. Bytes that were held up by a cut are lost
// if their sender has reset the connection.
func (l *link) copy(from, to net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if l.wait() && err == nil {
			_ = from.SetReadDeadline(time.Now().Add(settleTime))
			var more int
			if more, err = from.Read(b[n:]); isTimeout(err) {
				err = nil
			}
			n += more
			_ = from.SetReadDeadline(time.Time{})
			if err != nil {
				n = 0
			}
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			reset(from)
			reset(to)
			return
		}
	}
}

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Close()
}
