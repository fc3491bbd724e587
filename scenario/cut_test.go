package scenario

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/app"
)

// cutsVariable names the file that lists the addresses which a process can't reach.
const cutsVariable = "SCENARIO_CUTS"

const cutPoll = 10 * time.Millisecond

var errConnClosed = errors.New("connection is closed")

// cutDialer holds back all that passes between this process and the addresses
// in a file: dials wait, and bytes of open connections arrive after the cut.
type cutDialer struct {
	app.Dialer
	cuts atomic.Pointer[map[string]bool]
}

func newCutDialer(d app.Dialer, file string) *cutDialer {
	c := &cutDialer{Dialer: d}
	c.read(file)
	go func() {
		for range time.Tick(cutPoll) {
			c.read(file)
		}
	}()
	return c
}

func (c *cutDialer) read(file string) {
	cuts := make(map[string]bool)
	data, err := os.ReadFile(file)
	if err != nil && c.cuts.Load() != nil {
		return
	}
	for _, address := range strings.Fields(string(data)) {
		cuts[address] = true
	}
	c.cuts.Store(&cuts)
}

// wait waits for the end of a cut.
func (c *cutDialer) wait(address string, done <-chan struct{}) error {
	for (*c.cuts.Load())[address] {
		select {
		case <-done:
			return errConnClosed
		case <-time.After(cutPoll):
		}
	}
	return nil
}

// DialContext implements app.Dialer.
func (c *cutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if err := c.wait(address, ctx.Done()); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	conn, err := c.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	closed, cancel := context.WithCancel(context.Background())
	return &cutConn{Conn: conn, dialer: c, address: address, closed: closed.Done(), cancel: cancel}, nil
}

type cutConn struct {
	net.Conn
	dialer  *cutDialer
	address string
	closed  <-chan struct{}
	cancel  context.CancelFunc
}

func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if cut := c.dialer.wait(c.address, c.closed); cut != nil {
		return 0, cut
	}
	return n, err
}

func (c *cutConn) Write(b []byte) (int, error) {
	if err := c.dialer.wait(c.address, c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *cutConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}
