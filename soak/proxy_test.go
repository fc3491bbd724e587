package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Cut says in which directions a proxy holds bytes back.
type Cut uint8

// Directions. Forward is from who connects to who listens.
const (
	CutNone Cut = iota
	CutForward
	CutBack
	CutBoth
)

// Proxy passes connections on to a listener on loopback and disturbs them from
// outside. Bytes that a cut holds back are passed on when it ends, as a
// retransmission would.
type Proxy struct {
	address string

	mu       sync.Mutex
	target   string
	changed  *sync.Cond
	listener net.Listener
	cut      Cut
	delay    time.Duration
	pairs    map[*pair]struct{}
	closed   bool
}

type pair struct{ near, far *net.TCPConn }

// NewProxy returns a proxy that listens at a port picked by the kernel. It resets
// connections until it has a target.
func NewProxy() (*Proxy, error) {
	p := &Proxy{pairs: make(map[*pair]struct{})}
	p.changed = sync.NewCond(&p.mu)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: %w", err)
	}
	p.address = l.Addr().String()
	p.serve(l)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// SetTarget sets the address to which new connections are passed on.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

func (p *Proxy) serve(l net.Listener) {
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener was closed
			}
			go p.connect(c.(*net.TCPConn))
		}
	}()
}

func (p *Proxy) connect(near *net.TCPConn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	c := &pair{near: near, far: far.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[c] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		reset(near)
		reset(c.far)
	}
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); p.copy(c.far, c.near, CutForward) }()
	go func() { defer done.Done(); p.copy(c.near, c.far, CutBack) }()
	done.Wait()
	_, _ = near.Close(), c.far.Close()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

func (p *Proxy) copy(to, from *net.TCPConn, direction Cut) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.pass(direction)
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case isEnd(err):
			_ = to.CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

func isEnd(err error) bool { return err.Error() == "EOF" }

// pass waits until a direction isn't cut, and for the delay.
func (p *Proxy) pass(direction Cut) {
	p.mu.Lock()
	for !p.closed && p.cut&direction != 0 {
		p.changed.Wait()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

// SetCut holds bytes back in some directions, or passes them on again.
func (p *Proxy) SetCut(c Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = c
	p.changed.Broadcast()
}

// SetDelay holds every piece of data back for a time.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		reset(c.near)
		reset(c.far)
	}
}

// Refuse closes the listener and all connections, as if the process behind it
// had ended.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	l := p.listener
	p.mu.Unlock()
	_ = l.Close()
	p.Reset()
}

// rebindTime bounds the attempts to listen at a former port again, which a
// connection of another process may hold for a moment.
const rebindTime = 10 * time.Second

// Accept listens again after Refuse.
func (p *Proxy) Accept() error {
	for end := time.Now().Add(rebindTime); ; time.Sleep(20 * time.Millisecond) {
		l, err := net.Listen("tcp", p.address)
		if err == nil {
			p.serve(l)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("soak: proxy at its former port: %w", err)
		}
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	p.Refuse()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
