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
	// callersPerVM keep one connection each.
	callersPerVM = 4
	// Callers pause between requests up to maxPause; long enough for connections
	// to be idle when something happens to them.
	maxPause = 60 * time.Millisecond
	// deadline is what callers say that they wait, and patience what they wait.
	deadline       = 2 * time.Second
	callerPatience = 6 * time.Second
	// bodySize is the most that a request's body has.
	bodySize = 8 << 10
)

// caller sends one request after the other on a connection that it keeps until
// the VM closes it or asks for that.
type caller struct {
	name    string
	vm      *gateway
	check   *checker
	random  *rand.Rand
	stopped func(*gateway) (int, time.Time)

	next   int
	conn   net.Conn
	reader *bufio.Reader
}

func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
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
		return false // the VM is down, which the schedule caused
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) newRequest() *request {
	c.next++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.next), vm: c.vm, method: http.MethodGet, idempotent: true}
	r.life, _ = c.stopped(c.vm)
	switch n := c.random.IntN(10); {
	case n < 2:
		r.uri = "/read/" + r.id
	case n < 4:
		versions := c.check.lately()
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

// hotKeys is how many keys get half of the requests, so that targets which
// share a key by mistake both get requests for it.
const hotKeys = 16

func (c *caller) key() int {
	k := c.random.IntN(keyCount)
	if c.random.IntN(2) == 0 {
		k = k % hotKeys * (keyCount / hotKeys)
	}
	return k
}

func (c *caller) request() {
	r := c.newRequest()
	c.check.send(r)
	_ = c.conn.SetDeadline(time.Now().Add(callerPatience))
	_, err := c.conn.Write(c.encode(r))
	var o outcome
	if err == nil {
		o, err = c.answer(r)
	}
	o.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	if life, at := c.stopped(c.vm); life == r.life {
		o.stoppedByPlan = at
	}
	if err != nil {
		o.status = 0
		c.hangUp()
	}
	c.check.finish(r, o)
}

func (c *caller) encode(r *request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.uri, wire.Host)
	_ = wire.RequestHeader(r.id, deadline, c.key()).Write(&b) // a bytes.Buffer returns no error
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	return b.Bytes()
}

func (c *caller) answer(r *request) (outcome, error) {
	res, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return outcome{}, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome{}, err
	}
	o := outcome{status: res.StatusCode, stamp: wire.Stamp(res.Header), body: string(body), stray: c.reader.Buffered()}
	if res.Close {
		c.hangUp()
	}
	return o, nil
}
