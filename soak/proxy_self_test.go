package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo returns the address of a listener that sends back what it gets.
func echo(t *testing.T) string {
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

// Guards against faults that are not injected, and then no soak would find
// anything: cuts in each direction, resets, refused connections and their ends.
func TestProxy(t *testing.T) {
	is := is.New(t)
	address := echo(t)
	p, err := NewProxy()
	is.NoErr(err)
	p.SetTarget(address)
	defer p.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", p.Address())
		is.NoErr(err)
		return c, bufio.NewReader(c)
	}
	say := func(c net.Conn, r *bufio.Reader, patience time.Duration) error {
		_, err := c.Write([]byte("x\n"))
		is.NoErr(err)
		_ = c.SetReadDeadline(time.Now().Add(patience))
		_, err = r.ReadString('\n')
		return err
	}
	c, r := dial()
	is.NoErr(say(c, r, progressTime))
	for _, cut := range []Cut{CutForward, CutBack, CutBoth} {
		p.SetCut(cut)
		is.True(say(c, r, 50*time.Millisecond) != nil)
		p.SetCut(CutNone)
		_ = c.SetReadDeadline(time.Now().Add(progressTime))
		_, err := r.ReadString('\n') // what the cut held back
		is.NoErr(err)
	}
	p.Reset()
	_, err = r.ReadString('\n')
	is.True(err != nil)
	p.Refuse()
	_, err = net.Dial("tcp", p.Address())
	is.True(err != nil)
	is.NoErr(p.Accept())
	c, r = dial()
	is.NoErr(say(c, r, progressTime))
}
