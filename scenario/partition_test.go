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

// partitionsEnv is the environment variable with the path of the file that lists
// the addresses which the process can't reach.
const partitionsEnv = "SCENARIO_CUTS"

const partitionPollInterval = 10 * time.Millisecond

var errConnClosed = errors.New("connection closed")

// partitionDialer blocks the traffic between this process and the addresses
// listed in a file: dials wait, and data on open connections is delivered once
// the address is no longer listed.
type partitionDialer struct {
	app.Dialer
	blocked atomic.Pointer[map[string]bool]
}

func newPartitionDialer(d app.Dialer, file string) *partitionDialer {
	p := &partitionDialer{Dialer: d}
	p.reload(file)
	go func() {
		for range time.Tick(partitionPollInterval) {
			p.reload(file)
		}
	}()
	return p
}

func (p *partitionDialer) reload(file string) {
	blocked := make(map[string]bool)
	data, err := os.ReadFile(file)
	if err != nil && p.blocked.Load() != nil {
		return
	}
	for _, address := range strings.Fields(string(data)) {
		blocked[address] = true
	}
	p.blocked.Store(&blocked)
}

// waitUnblocked waits until the address is reachable, or done is closed.
func (p *partitionDialer) waitUnblocked(address string, done <-chan struct{}) error {
	for (*p.blocked.Load())[address] {
		select {
		case <-done:
			return errConnClosed
		case <-time.After(partitionPollInterval):
		}
	}
	return nil
}

// DialContext implements app.Dialer.
func (p *partitionDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if err := p.waitUnblocked(address, ctx.Done()); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	conn, err := p.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	closed, cancel := context.WithCancel(context.Background())
	return &partitionConn{Conn: conn, dialer: p, address: address, closed: closed.Done(), cancel: cancel}, nil
}

type partitionConn struct {
	net.Conn
	dialer  *partitionDialer
	address string
	closed  <-chan struct{}
	cancel  context.CancelFunc
}

func (c *partitionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.dialer.waitUnblocked(c.address, c.closed); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

func (c *partitionConn) Write(b []byte) (int, error) {
	if err := c.dialer.waitUnblocked(c.address, c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *partitionConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}
