package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoServer returns the address of a server that echoes its input.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against faults that the proxy doesn't inject or doesn't end, which would
// make a soak test pass without testing anything: cuts in each direction, resets
// and refused connections.
func TestProxy(t *testing.T) {
	is := is.New(t)
	address := startEchoServer(t)
	p, err := NewProxy()
	is.NoErr(err)
	p.SetTarget(address)
	defer p.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", p.Address())
		is.NoErr(err)
		return c, bufio.NewReader(c)
	}
	roundTrip := func(c net.Conn, r *bufio.Reader, timeout time.Duration) error {
		_, err := c.Write([]byte("x\n"))
		is.NoErr(err)
		_ = c.SetReadDeadline(time.Now().Add(timeout))
		_, err = r.ReadString('\n')
		return err
	}
	c, r := dial()
	is.NoErr(roundTrip(c, r, progressTimeout))
	for _, cut := range []Cut{CutForward, CutBackward, CutBoth} {
		p.SetCut(cut)
		is.True(roundTrip(c, r, 50*time.Millisecond) != nil)
		p.SetCut(CutNone)
		_ = c.SetReadDeadline(time.Now().Add(progressTimeout))
		_, err := r.ReadString('\n') // the bytes that the cut delayed
		is.NoErr(err)
	}
	p.Reset()
	_, err = r.ReadString('\n')
	is.True(err != nil)
	p.StopListening()
	_, err = net.Dial("tcp", p.Address())
	is.True(err != nil)
	is.NoErr(p.Listen())
	c, r = dial()
	is.NoErr(roundTrip(c, r, progressTimeout))
}
