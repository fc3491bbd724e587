package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Cut is the set of directions in which a proxy delays bytes until the cut ends.
type Cut uint8

// Directions. Forward is from the client to the server.
const (
	CutNone Cut = iota
	CutForward
	CutBackward
	CutBoth
)

// Proxy forwards TCP connections to a loopback address and injects faults. Bytes
// that a cut delays are forwarded when it ends, as by TCP retransmissions.
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

type pair struct{ client, server *net.TCPConn }

// NewProxy returns a proxy that listens on a port that the kernel picks. It resets
// connections until SetTarget is called.
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

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// SetTarget sets the address to which new connections are forwarded.
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

func (p *Proxy) connect(client *net.TCPConn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c := &pair{client: client, server: server.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[c] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		reset(client)
		reset(c.server)
	}
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); p.copy(c.server, c.client, CutForward) }()
	go func() { defer done.Done(); p.copy(c.client, c.server, CutBackward) }()
	done.Wait()
	_, _ = client.Close(), c.server.Close()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

func (p *Proxy) copy(to, from *net.TCPConn, direction Cut) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.waitForLink(direction)
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case isEOF(err):
			_ = to.CloseWrite()
			return
		default:
			reset(to)
			return
		}
	}
}

func isEOF(err error) bool { return err.Error() == "EOF" }

// waitForLink waits until the direction isn't cut, and then for the delay.
func (p *Proxy) waitForLink(direction Cut) {
	p.mu.Lock()
	for !p.closed && p.cut&direction != 0 {
		p.changed.Wait()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

// SetCut sets the directions that are cut.
func (p *Proxy) SetCut(c Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = c
	p.changed.Broadcast()
}

// SetDelay sets the delay of every chunk of data.
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
		reset(c.client)
		reset(c.server)
	}
}

// StopListening closes the listener and resets all connections, as if the server
// had exited.
func (p *Proxy) StopListening() {
	p.mu.Lock()
	l := p.listener
	p.mu.Unlock()
	_ = l.Close()
	p.Reset()
}

// rebindTime limits the attempts to listen on the previous port again, which a
// connection of another process may use briefly.
const rebindTime = 10 * time.Second

// Listen listens again after StopListening, on the same port.
func (p *Proxy) Listen() error {
	for end := time.Now().Add(rebindTime); ; time.Sleep(20 * time.Millisecond) {
		l, err := net.Listen("tcp", p.address)
		if err == nil {
			p.serve(l)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("soak: proxy: listen on the previous port: %w", err)
		}
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	p.StopListening()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
