package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// pipeliningClients are connected to one VM. Each sends one request behind the
	// other without waiting for the answers, which it reads. Their heads have
	// shortLines short lines and an odd long one, legalHead bytes in all.
	pipeliningClients = 600
	shortLines        = 300
	pipeliningTime    = 25 * time.Second
	pipelineDeadline  = 1200 * time.Millisecond
	pipelineTargets   = 6
	pipelineWork      = 60 * time.Millisecond
	// Without the disruption each client sends a request of a few lines after the
	// answer to the last one, calmGap later.
	calmGap = time.Second
	// The memory of the process is measured every sampleInterval. It must be over the
	// limit in samplesOver measurements in a row.
	sampleInterval = 250 * time.Millisecond
	samplesOver    = 4
	bytesPerMiB    = 1 << 20
	// maxLost is how many requests from kept connections may be lost.
	maxLost = 3
)

// pipelinedHeads checks that a VM stays within its memory while clients send legal
// requests of very many short lines.
func pipelinedHeads(w *world) (string, error) {
	var runs runLogTimes
	if err := w.startDesk(wire.Route{Name: "read", Prefix: "/read/"}, pipelineTargets, pipelineWork, pipelineDeadline, &runs); err != nil {
		return "", err
	}
	v := w.vms[0]
	address, err := netip.ParseAddrPort(v.callers)
	if err != nil {
		return "", fmt.Errorf("scene2: %w", err)
	}
	time.Sleep(contact)
	end := time.Now().Add(pipeliningTime)
	var clients sync.WaitGroup
	var sent, answers atomic.Int64
	for i := range pipeliningClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(end) && v.running(); n++ {
				id := fmt.Sprintf("client-%d-%d", i, n)
				if w.trouble {
					sendPipelined(v.callers, id, end, &sent, &answers)
				} else if sent.Add(1); send(newCaller(false), v, "/read/"+id, id, pipelineDeadline).status != 0 {
					answers.Add(1)
				}
				time.Sleep(calmGap)
			}
		})
	}
	const limit = memoryMB * bytesPerMiB
	over, most := 0, int64(0)
	for time.Now().Before(end) && v.running() {
		anonymous, unread := v.anonymousBytes(), unreadBytes(address)
		w.note("%s: anonymous %d MB, received and unread %d MB; %d requests sent, %d answered, %d run",
			v.name, anonymous/1_000_000, unread/1_000_000, sent.Load(), answers.Load(), runs.since(time.Time{}))
		most = max(most, anonymous+unread)
		if over++; anonymous+unread <= limit {
			over = 0
		}
		if over >= samplesOver {
			break
		}
		time.Sleep(sampleInterval)
	}
	lost := 0
	if over >= samplesOver && v.running() {
		w.note("the platform kills %s for its memory", v.name)
		lost = runs.since(time.Now().Add(-pipelineWork))
		_ = v.cmd.Process.Kill() // it may have exited
		<-v.exited
	}
	clients.Wait()
	w.note("at most %d MB, with a limit of %d MB (MiB); %d requests of kept connections were at targets at the kill and got no answer", most/1_000_000, limit/1_000_000, lost)
	if lost > maxLost {
		return fmt.Sprintf("%s took %d MB of the %d MB of its machine and was killed, with %d requests at targets", v.name, most/1_000_000, limit/1_000_000, lost), nil
	}
	return "", nil
}

// sendPipelined sends requests on one connection until it is closed or the time has
// come.
func sendPipelined(address, id string, end time.Time, sent, answers *atomic.Int64) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(end); err != nil {
		return
	}
	go func() {
		for r := bufio.NewReader(c); ; answers.Add(1) {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				return // the connection has ended
			}
			_, _ = io.Copy(io.Discard, res.Body)
		}
	}()
	for n := 0; ; n++ {
		var b bytes.Buffer
		fmt.Fprintf(&b, "GET /read/%s-%d HTTP/1.1\r\nHost: %s\r\n", id, n, wire.Host)
		_ = wire.RequestHeader(fmt.Sprintf("%s-%d", id, n), pipelineDeadline, 0).Write(&b) // a bytes.Buffer returns no error
		for line := range shortLines {
			fmt.Fprintf(&b, "x%x: value\r\n", line)
		}
		fmt.Fprintf(&b, "odd: %s\r\n\r\n", strings.Repeat("x", max(0, legalHead-b.Len())))
		if _, err := c.Write(b.Bytes()); err != nil {
			return
		}
		sent.Add(1)
	}
}

// runLogTimes holds when targets began to run requests.
type runLogTimes struct {
	mu    sync.Mutex
	times []time.Time
}

// RunStarted implements wire.Observer.
func (l *runLogTimes) RunStarted(*wire.Server, wire.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

// TurnedAway implements wire.Observer.
func (*runLogTimes) TurnedAway(*wire.Server, string, time.Duration) {}

// Granted implements wire.Observer.
func (*runLogTimes) Granted(*wire.Server, int, int, int64) {}

// since returns how many runs began after a time.
func (l *runLogTimes) since(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.times {
		if at.After(t) {
			n++
		}
	}
	return n
}

// anonymousBytes returns the resident memory of a VM's process without the pages of files.
func (v *vm) anonymousBytes() int64 { return v.statusBytes("RssAnon:") }

// unreadBytes returns what the kernel has received for the connections of a listener and
// its process has not read yet. They are in the same network namespace.
func unreadBytes(listener netip.AddrPort) int64 {
	const established = "01"
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := listener.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], listener.Port())
	var sum int64
	for lines := bufio.NewScanner(bytes.NewReader(b)); lines.Scan(); {
		// sl, local address, remote address, state, tx_queue:rx_queue
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] != established {
			continue
		}
		if _, queue, ok := strings.Cut(fields[4], ":"); ok {
			n, _ := strconv.ParseInt(queue, 16, 64) // 0 if malformed
			sum += n
		}
	}
	return sum
}
