package main

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
	"strconv"
	"time"
)

// load is a stream of requests of one kind.
type load struct {
	method, path string
	// keys are the keys that the requests name; none if it is empty.
	keys     []int
	callers  int
	pause    time.Duration
	deadline time.Duration
	// body is the size of the requests' bodies, and bytesPerSecond how fast a caller
	// sends them; 0 means at once.
	body, bytesPerSecond int
	// requests bounds the requests of a caller; 0 means no bound.
	requests int
}

// caller sends one request after the other on a connection that it keeps.
type caller struct {
	load
	world *world
	group string
	conn  net.Conn
	r     *bufio.Reader
	// machine is where the connection leads, and answered counts its responses.
	machine  *gateway
	answered int
}

// run sends requests until the context ends. Each caller sends to one machine, and
// to another after a failure.
func (l load) run(ctx context.Context, s *scene, group string, gateways []*gateway) {
	for i := range l.callers {
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			random := rand.New(rand.NewPCG(uint64(i), uint64(len(group))))
			c := &caller{load: l, world: s.world, group: group}
			defer c.close()
			at := i
			for n := 0; ctx.Err() == nil && (l.requests == 0 || n < l.requests); n++ {
				key := -1
				if len(l.keys) > 0 {
					key = l.keys[random.IntN(len(l.keys))]
				}
				if c.machine != gateways[at%len(gateways)] {
					c.close()
					c.machine = gateways[at%len(gateways)]
				}
				if status := c.send(ctx, fmt.Sprintf("%s-%d-%d", group, i, n), key); status != http.StatusOK {
					at++
				}
				sleep(ctx, l.pause)
			}
		}()
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and returns the status of the response, or 0.
func (c *caller) send(ctx context.Context, id string, key int) int {
	if c.conn == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.machine.front)
		if err != nil {
			c.world.count(c.group + ": no connection")
			return 0
		}
		c.conn, c.r, c.answered = conn, bufio.NewReader(conn), 0
	}
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	end := time.Now().Add(c.deadline + 200*time.Millisecond)
	_ = c.conn.SetDeadline(end)
	detailed := c.world.recordSend(c, id, key)
	status, last, err := c.exchange(id, key)
	if detailed && err == nil {
		c.world.record("request %s is answered %d", id, status)
	}
	switch {
	case err == nil:
		c.answered++
		c.world.count(fmt.Sprintf("%s: answered %d", c.group, status))
		if last {
			c.close()
		}
		return status
	case ctx.Err() != nil:
		c.world.count(c.group + ": stopped by the end of the case")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.world.count(c.group + ": no answer before the deadline")
	default:
		c.world.count(c.group + ": connection ended without an answer")
		c.world.lost(c, id, err)
	}
	c.close()
	return 0
}

// exchange sends a request and reads the whole response. It reports whether the
// response closes the connection.
func (c *caller) exchange(id string, key int) (status int, last bool, err error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s/%s HTTP/1.1\r\nHost: %s\r\nCeleryhook-Request-Id: %s\r\nCeleryhook-Deadline-Ms: %s\r\n",
		c.method, c.path, id, host, id, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if key >= 0 {
		fmt.Fprintf(&b, "Celeryhook-Shard-Key: %d\r\n", key)
	}
	if c.body > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", c.body)
	}
	b.WriteString("\r\n")
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return 0, false, err
	}
	if err := c.sendBody(); err != nil {
		return 0, false, err
	}
	res, err := http.ReadResponse(c.r, &http.Request{Method: c.method})
	if err != nil {
		return 0, false, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, false, err
	}
	if res.StatusCode == http.StatusOK && !bytes.HasSuffix(bytes.TrimSpace(body), []byte(" "+id)) {
		c.world.mixed(id, body)
	}
	return res.StatusCode, res.Close, nil
}

// sendBody sends the body at the caller's rate.
func (c *caller) sendBody() error {
	chunk := make([]byte, 64<<10)
	start := time.Now()
	for sent := 0; sent < c.body; {
		n, err := c.conn.Write(chunk[:min(len(chunk), c.body-sent)])
		if sent += n; err != nil {
			return err
		}
		if c.bytesPerSecond > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / float64(c.bytesPerSecond) * float64(time.Second)))))
		}
	}
	return nil
}

// recordSend records the first requests one by one and reports whether this is one.
func (w *world) recordSend(c *caller, id string, key int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["requests sent"]++
	if w.counts["requests sent"] > maxRecorded && c.body < maxBodyBytes/2 {
		return false
	}
	w.write("request %s (%s %s, key %d, %d bytes) is sent to %s", id, c.method, c.path, key, c.body, c.machine.name)
	return true
}

// mixed records a response that isn't the one of the request.
func (w *world) mixed(id string, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violation("MIXED: request %s got %q", id, body)
}

// maxLost is how many requests of kept connections a machine may lose.
const maxLost = 3

// lost records a connection that a machine ended without an answer. It counts if
// the connection was kept, and the machine had passed the request on to a server.
func (w *world) lost(c *caller, id string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	to, sound := "no server", false
	if s := w.passedOn[id]; s != nil {
		to, sound = s.id, !s.isStopped() && !s.trouble.isOn()
	}
	w.write("%s ends the connection of request %s without an answer, %d were answered on it before, passed on to %s: %v",
		c.machine.name, id, c.answered, to, err)
	if c.answered == 0 || !sound {
		return
	}
	w.lostBy[c.machine]++
	if n := w.lostBy[c.machine]; n == maxLost+1 {
		w.violation("LOST: %s passed on %d requests of kept connections to sound servers and closed these without an answer", c.machine.name, n)
	}
}
