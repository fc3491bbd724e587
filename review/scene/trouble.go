package main

import (
	"bytes"
	"sync"
	"time"
)

// trouble makes a server write wrong responses to releases. It stays within a share
// of the responses that the server has given.
type trouble struct {
	kind string
	// share bounds the wrong responses as a part of all responses.
	share float64

	// alone is held while a response without end is written.
	alone sync.Mutex

	mu sync.Mutex
	on bool
	// begun is how many responses the server had given when the trouble began, and
	// wrong how many wrong ones since.
	begun, wrong int
	// linkFreeAt is when the link of the server has sent all bytes so far.
	linkFreeAt time.Time
}

// enable starts the trouble.
func (t *trouble) enable(s *server) {
	s.mu.Lock()
	answers := s.answers
	s.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.on, t.begun = true, answers
}

func (t *trouble) disable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.on = false
}

func (t *trouble) isOn() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.on
}

// take reports whether one more wrong response is within the share.
func (t *trouble) take(s *server) bool {
	s.mu.Lock()
	answers := s.answers
	s.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.on || float64(t.wrong+1) > t.share*float64(answers-t.begun) {
		return false
	}
	t.wrong++
	return true
}

// onRelease is called when a release has taken effect, while the work busy is still
// running.
func (t *trouble) onRelease(x *exchange, o order, busy []*work) {
	s := x.server
	switch t.kind {
	case "extra-late":
		if len(busy) == 0 || x.lastOrder == nil || !t.take(s) {
			return
		}
		s.world.record("server %s sends a second copy of the response to the order before the release of keys %d to %d", s.id, o.From, o.To)
		_, _ = x.conn.Write(x.lastOrder) // the caller may have closed the connection
	case "endless-body":
		// One at a time, as they share the server's link.
		if len(busy) == 0 || !t.alone.TryLock() {
			return
		}
		defer t.alone.Unlock()
		if !t.take(s) {
			return
		}
		s.world.record("server %s answers the release of keys %d to %d with a body without end", s.id, o.From, o.To)
		endless(x, "HTTP/1.1 200 OK\r\n\r\n")
	case "endless-head":
		if !t.take(s) {
			return
		}
		s.world.record("server %s answers the release of keys %d to %d with a head without end", s.id, o.From, o.To)
		endless(x, "HTTP/1.1 200 OK\r\nX: ")
	}
}

// linkBytesPerSecond is what the server sends at most, four fifths of the bandwidth of a
// machine's link of 1000 Mbit/s.
const linkBytesPerSecond = 100_000_000

// endless writes a start and then bytes without end, until the caller closes. All
// connections share the bandwidth of the server's link.
func endless(x *exchange, start string) {
	if _, err := x.conn.Write([]byte(start)); err != nil {
		return
	}
	chunk := bytes.Repeat([]byte("x"), 64<<10)
	written := 0
	for {
		x.server.trouble.waitForLink(len(chunk))
		n, err := x.conn.Write(chunk)
		if written += n; err != nil {
			x.server.world.record("server %s: the caller closed after %d bytes", x.server.id, written)
			return
		}
	}
}

// waitForLink waits until the link has room for n more bytes.
func (t *trouble) waitForLink(n int) {
	t.mu.Lock()
	now := time.Now()
	if t.linkFreeAt.Before(now) {
		t.linkFreeAt = now
	}
	t.linkFreeAt = t.linkFreeAt.Add(time.Duration(float64(n) / linkBytesPerSecond * float64(time.Second)))
	wait := t.linkFreeAt.Sub(now)
	t.mu.Unlock()
	time.Sleep(wait)
}
