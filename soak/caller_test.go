package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// Each caller uses one connection.
	callersPerVM = 4
	// maxPause is the longest pause between the requests of a caller. It is long
	// enough for faults to meet idle connections.
	maxPause = 60 * time.Millisecond
	// deadline is the deadline in the requests, and callerTimeout how long callers
	// wait.
	deadline      = 2 * time.Second
	callerTimeout = 6 * time.Second
	// bodySize is the maximum size of a request body.
	bodySize = 8 << 10
)

// caller sends requests one at a time. It keeps its connection until the VM
// closes it or responds with Connection: close.
type caller struct {
	name   string
	vm     *gateway
	check  *checker
	random *rand.Rand
	stopOf func(*gateway) (int, time.Time)

	next   int
	conn   net.Conn
	reader *bufio.Reader
}

func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.Float64() * float64(maxPause)))
		if c.conn == nil && !c.dial() {
			continue
		}
		c.request()
	}
}

func (c *caller) dial() bool {
	conn, err := net.DialTimeout("tcp", c.vm.callerLink.Address(), time.Second)
	if err != nil {
		return false // the VM is down, as scheduled
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) newRequest() *request {
	c.next++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.next), vm: c.vm, method: http.MethodGet, idempotent: true}
	r.process, _ = c.stopOf(c.vm)
	switch n := c.random.IntN(10); {
	case n < 2:
		r.uri = "/read/" + r.id
	case n < 4:
		versions := c.check.recentVersions()
		r.uri = fmt.Sprintf("/v/%d/%s", versions[c.random.IntN(len(versions))], r.id)
	case n < 6:
		r.uri = "/seat/" + r.id
	case n < 8:
		r.uri, r.method, r.idempotent = "/hold/"+r.id, http.MethodPost, false
	default:
		r.uri, r.method, r.idempotent = "/book/"+r.id, http.MethodPost, false
	}
	if r.method == http.MethodPost {
		r.body = strings.Repeat(r.id+" ", 1+c.random.IntN(bodySize/(len(r.id)+1)))
	}
	return r
}

// hotKeys is the number of keys that get half of the requests, so that two
// targets that hold the same key by mistake both get requests for it.
const hotKeys = 16

func (c *caller) key() int {
	k := c.random.IntN(keyCount)
	if c.random.IntN(2) == 0 {
		k = k % hotKeys * (keyCount / hotKeys)
	}
	return k
}

func (c *caller) request() {
	c.send(c.newRequest())
}

func (c *caller) send(r *request) {
	c.check.requestSent(r)
	_ = c.conn.SetDeadline(time.Now().Add(callerTimeout))
	_, err := c.conn.Write(c.encode(r))
	var o outcome
	if err == nil {
		o, err = c.readResponse(r)
	}
	o.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	if process, at := c.stopOf(c.vm); process == r.process {
		o.plannedStopAt = at
	}
	if err != nil {
		o.status = 0
		c.closeConn()
	}
	c.check.requestFinished(r, o)
}

func (c *caller) encode(r *request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.uri, wire.Host)
	_ = wire.RequestHeader(r.id, deadline, c.key()).Write(&b) // a bytes.Buffer never fails
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	return b.Bytes()
}

func (c *caller) readResponse(r *request) (outcome, error) {
	res, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return outcome{}, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome{}, err
	}
	o := outcome{status: res.StatusCode, stamp: wire.Stamp(res.Header), body: string(body), trailing: c.reader.Buffered()}
	if res.Close {
		c.closeConn()
	}
	return o, nil
}
