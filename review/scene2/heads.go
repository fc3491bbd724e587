package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// silence is the time in which a VM that says it is ready answers no
	// ordinary request at all, although it gets many, for the rule to count as broken.
	silence         = contact
	silenceRequests = 50
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
	var connections atomic.Int64
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
				running.Go(func() { connections.Add(sendEndlessHeads(v.callers, long, crowdEnd)) })
			}
			for range shortHeads {
				running.Go(func() { connections.Add(sendEndlessHeads(v.callers, short, crowdEnd)) })
			}
		}
	}
	running.Wait()
	w.note("the crowd opened %d connections", connections.Load())
	return w.judgeAnswers(results, start.Add(calmTime+settledTime), end), nil
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

// judgeAnswers returns the violation of a VM that answered no ordinary request for too
// long a time, or nothing.
func (w *world) judgeAnswers(results [][]outcome, from, to time.Time) string {
	violation := ""
	for i, list := range results {
		v := w.vms[i]
		answered, served, sent := 0, 0, 0
		longest, requests := time.Duration(0), 0
		last, since := from, 0
		for _, o := range sortedBySending(list) {
			if o.sentAt.Before(from) || o.sentAt.After(to) {
				continue
			}
			sent++
			if since++; o.answer.status == 0 {
				if gap := o.sentAt.Sub(last); gap > longest && v.wasReady(last, o.sentAt) {
					longest, requests = gap, since
				}
				continue
			}
			answered++
			if o.answer.stamped {
				served++
			}
			last, since = o.sentAt, 0
		}
		w.note("%s: of %d ordinary requests beside the crowd, %d got an answer, %d of them a target's; longest time without an answer while it said that it is ready %v (%d requests); process runs: %v, peak memory %d MB",
			v.name, sent, answered, served, longest.Round(time.Millisecond), requests, v.running(), v.peakMemoryMB())
		if !v.running() {
			violation = v.name + " has exited"
		}
		if violation == "" && longest >= silence && requests >= silenceRequests {
			violation = fmt.Sprintf("%s said that it is ready and answered none of %d ordinary requests in %v", v.name, requests, longest.Round(time.Millisecond))
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
// one when it is closed. It returns how many it has opened.
func sendEndlessHeads(address string, head []byte, end time.Time) (opened int64) {
	for ; time.Now().Before(end); opened++ {
		sendEndlessHead(address, head, end)
		time.Sleep(reconnectDelay)
	}
	return opened
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

// sortedBySending returns the outcomes in the order in which the requests were sent.
func sortedBySending(list []outcome) []outcome {
	return slices.SortedFunc(slices.Values(list), func(x, y outcome) int { return x.sentAt.Compare(y.sentAt) })
}
