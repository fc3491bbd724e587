package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// longHeads and shortHeads are the numbers of connections with heads without end to
	// each VM, by what they send before they slow down: headLines and headBytes, or
	// only a request line.
	longHeads  = 480
	shortHeads = 600
	headLines  = 950
	headBytes  = 60 << 10
	// trickleInterval is the time between two more bytes of a head.
	trickleInterval = time.Second
	// reconnectDelay is how long a client of the crowd waits before it connects again.
	reconnectDelay = time.Second

	calmTime  = 4 * time.Second
	crowdTime = 32 * time.Second
	// settledTime is the time for the crowd to connect, which isn't judged.
	settledTime = 3 * time.Second
	// ordinaryInterval is the time between two ordinary requests to a VM, and
	// ordinaryDeadline how long their callers wait.
	ordinaryInterval = 40 * time.Millisecond
	ordinaryDeadline = 1200 * time.Millisecond
	ordinaryTargets  = 6
	ordinaryWork     = 60 * time.Millisecond
	// takenTime is how long a connection of the crowd must stay open to count as taken.
	takenTime = 100 * time.Millisecond
	// minClients is how many ordinary callers must try meanwhile.
	minClients = 7
	// readyInterval is the time between two readiness probes, as the platform's.
	readyInterval = time.Second
)

// outcome is the outcome of an ordinary request.
type outcome struct {
	sentAt time.Time
	answer answer
}

// openHeads checks that ordinary callers still get answers while other clients send
// heads that don't end.
func openHeads(w *world) (string, error) {
	if err := w.startDesk(wire.Route{Name: "read", Prefix: "/read/"}, ordinaryTargets, ordinaryWork, ordinaryDeadline, runLog{w}); err != nil {
		return "", err
	}
	start := time.Now()
	results := make([][]outcome, len(w.vms))
	var running sync.WaitGroup
	crowd := connections{taken: make(map[string][]time.Time)}
	end := start.Add(calmTime + crowdTime)
	for i, v := range w.vms {
		running.Go(func() { results[i] = w.ordinaryCallers(v, end) })
		running.Go(func() { w.probeReadiness(v, end) })
	}
	time.Sleep(calmTime)
	crowdEnd := time.Now().Add(crowdTime)
	if w.trouble {
		w.note("%d clients connect to each VM and send heads that don't end", longHeads+shortHeads)
		long, short := endlessHead()
		for _, v := range w.vms {
			for range longHeads {
				running.Go(func() { sendEndlessHeads(v.callers, long, crowdEnd, &crowd) })
			}
			for range shortHeads {
				running.Go(func() { sendEndlessHeads(v.callers, short, crowdEnd, &crowd) })
			}
		}
	}
	running.Wait()
	w.note("the crowd opened %d connections", crowd.opened)
	return w.judgeConnections(results, &crowd, start.Add(calmTime+settledTime), end), nil
}

// ordinaryCallers sends requests to a VM until the end, each on a connection of its
// own.
func (w *world) ordinaryCallers(v *vm, end time.Time) []outcome {
	var mu sync.Mutex
	var out []outcome
	var requests sync.WaitGroup
	client := newCaller(false)
	for i := 0; time.Now().Before(end); i++ {
		requests.Go(func() {
			id := fmt.Sprintf("%s-%d", v.name, i)
			o := outcome{sentAt: time.Now()}
			w.note("ordinary %s is sent", id)
			o.answer = send(client, v, "/read/"+id, id, ordinaryDeadline)
			w.note("ordinary %s: %s", id, o.answer)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, o)
		})
		time.Sleep(ordinaryInterval)
	}
	requests.Wait()
	return out
}

// probeReadiness asks a VM whether it is ready, as the platform does, until the end.
func (w *world) probeReadiness(v *vm, end time.Time) {
	client := http.Client{Timeout: readyInterval}
	for ; time.Now().Before(end); time.Sleep(readyInterval) {
		ready := v.isReady(&client)
		if !ready {
			v.unreadyAt = append(v.unreadyAt, time.Now())
		}
		w.note("%s says it is ready: %v", v.name, ready)
	}
}

// wasReady reports whether no readiness probe of the VM failed between two times.
func (v *vm) wasReady(from, to time.Time) bool {
	return !slices.ContainsFunc(v.unreadyAt, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// connections are the crowd's connections that VMs have taken.
type connections struct {
	mu     sync.Mutex
	opened int
	// taken holds, for the address of each VM, when those were opened that stayed open.
	taken map[string][]time.Time
}

func (c *connections) add(address string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opened++; time.Since(at) >= takenTime {
		c.taken[address] = append(c.taken[address], at)
	}
}

// judgeConnections returns the violation of a VM that said that it is ready and took no
// new connection for longer than contact, or nothing. A connection was taken if an
// ordinary caller got any answer on it, or if one of the crowd stayed open.
func (w *world) judgeConnections(results [][]outcome, crowd *connections, from, to time.Time) string {
	violation := ""
	for i, v := range w.vms {
		taken := []time.Time{from, to}
		for _, at := range crowd.taken[v.callers] {
			if at.After(from) && at.Before(to) {
				taken = append(taken, at)
			}
		}
		var tried []time.Time
		answered := 0
		for _, o := range results[i] {
			switch {
			case o.sentAt.Before(from) || o.sentAt.After(to):
				continue
			case o.answer.status != 0:
				answered++
				taken = append(taken, o.sentAt)
			}
			tried = append(tried, o.sentAt)
		}
		slices.SortFunc(taken, time.Time.Compare)
		longest, clients := time.Duration(0), 0
		for j, at := range taken[1:] {
			last, n := taken[j], 0
			for _, t := range tried {
				if t.After(last) && t.Before(at) {
					n++
				}
			}
			if gap := at.Sub(last); gap > longest && n >= minClients && v.wasReady(last, at) {
				longest, clients = gap, n
			}
		}
		w.note("%s: %d of %d ordinary requests beside the crowd got an answer; longest time without a new connection while it said that it is ready %v (%d ordinary callers tried); process runs: %v",
			v.name, answered, len(tried), longest.Round(time.Millisecond), clients, v.running())
		if violation == "" && longest > contact {
			violation = fmt.Sprintf("%s said that it is ready and took no new connection for %v, while %d ordinary callers tried", v.name, longest.Round(time.Millisecond), clients)
		}
	}
	return violation
}

// endlessHead returns the beginnings of a long and of a short head.
func endlessHead() (long, short []byte) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "GET /read/endless HTTP/1.1\r\nHost: %s\r\n", wire.Host)
	short = bytes.Clone(head.Bytes())
	for range headLines {
		head.WriteString("a:\r\n")
	}
	head.WriteString("b: " + strings.Repeat("x", headBytes-head.Len()))
	return head.Bytes(), append(short, "b: "...)
}

// sendEndlessHeads keeps a connection with a head that doesn't end, and opens another
// one when it is closed.
func sendEndlessHeads(address string, head []byte, end time.Time, crowd *connections) {
	for time.Now().Before(end) {
		openedAt := time.Now()
		sendEndlessHead(address, head, end)
		crowd.add(address, openedAt)
		time.Sleep(reconnectDelay)
	}
}

func sendEndlessHead(address string, head []byte, end time.Time) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(end); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		var b [512]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				return
			}
		}
	}()
	defer func() { _ = c.Close(); <-closed }()
	for {
		if _, err := c.Write(head); err != nil {
			return
		}
		head = []byte("x")
		select {
		case <-closed:
			return
		case <-time.After(trickleInterval):
		}
	}
}
