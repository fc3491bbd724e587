package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/target"
	"celeryhook.example/celeryhook/standin/wire"
)

// limitedVM is a VM whose process must stay below limits.
type limitedVM struct {
	*gateway
	memoryMB, maxFDs int
}

// startLimitedVM starts a VM with the given limits and two targets, and waits until it
// serves requests.
func startLimitedVM(t *testing.T, memoryMB, maxFDs int, maxBody int64) *limitedVM {
	is := is.New(t)
	store := wire.NewStore()
	is.NoErr(store.Configure(wire.Config{
		Version: 1, Timeout: 4 * time.Second, MaxBodyBytes: maxBody,
		Routes:   []wire.Route{{Name: "read", Prefix: "/read/", Service: "desk"}},
		Services: []wire.ServiceOptions{{Name: "desk", MaxConns: 200, Cold: coldTime, ColdRate: coldRate}},
	}))
	for i := range 2 {
		s, err := wire.StartServer(store, wire.ServerOptions{ID: fmt.Sprint("t", i), Service: "desk", Zone: "z0", Slots: 8})
		is.NoErr(err)
		t.Cleanup(s.Stop)
		s.SetFaults(target.Faults{ServiceTime: 200 * time.Millisecond})
	}
	g, err := newGateway(build(t), t.TempDir(), 0, "z0", store, nil)
	is.NoErr(err)
	t.Cleanup(g.close)
	settings, err := wire.VM{
		Name: g.name, IP: "127.0.1.1", Zone: g.domain, Callers: g.callers, Ready: g.ready, Peers: g.peers, Store: g.storeLink.Address(),
		MemoryMB: memoryMB, MaxFDs: maxFDs,
	}.Settings()
	is.NoErr(err)
	is.NoErr(os.WriteFile(g.settings, settings, 0o600))
	is.NoErr(g.start(func(bool, *os.ProcessState) {}))
	is.True(eventually(g.isReady))
	is.True(eventually(func() bool { return ordinaryRequest(g) }))
	return &limitedVM{gateway: g, memoryMB: memoryMB, maxFDs: maxFDs}
}

// requireWithinLimits fails the test if the process has exited or was over a limit.
func (v *limitedVM) requireWithinLimits(t *testing.T, p peaks) {
	t.Helper()
	v.mu.Lock()
	alive := v.running()
	v.mu.Unlock()
	if !alive {
		logProcessOutput(t, v.dir)
		t.Fatal("the process has exited")
	}
	p.require(t, v.cmd.Process.Pid, v.memoryMB)
	if p.fds > int64(v.maxFDs) {
		t.Errorf("%d open descriptors are over the limit of %d", p.fds, v.maxFDs)
	}
}

// peaks are the largest values that a process had at a time.
type peaks struct {
	fds int64
	// charged is the anonymous memory and what its sockets have received and the
	// process hasn't read, in bytes.
	charged int64
}

// require fails the test if the process exceeded its memory.
func (p peaks) require(t *testing.T, pid, memoryMB int) {
	t.Helper()
	resident := peakMemoryKB(t, pid)
	t.Logf("peaks: resident memory %d KB, anonymous memory and unread bytes %d KB of %d KB, open descriptors %d", resident, p.charged>>10, memoryMB<<10, p.fds)
	if resident > int64(memoryMB)<<10 {
		t.Errorf("resident memory of %d KB is over the limit of %d MB", resident, memoryMB)
	}
	if p.charged > int64(memoryMB)<<20 {
		t.Errorf("anonymous memory and unread bytes of %d KB are over the limit of %d MB", p.charged>>10, memoryMB)
	}
}

// watchPeaks samples a process that listens on the IP address of the given address. The
// returned function ends that and returns the peaks.
func watchPeaks(pid int, address string) func() peaks {
	var p peaks
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			p.fds = max(p.fds, openFDs(pid))
			p.charged = max(p.charged, anonymousBytes(pid)+unreadBytes(address))
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() peaks {
		close(stop)
		<-stopped
		return p
	}
}

// anonymousBytes returns the anonymous memory of a process; 0 if it has exited.
func anonymousBytes(pid int) int64 {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// unreadBytes returns what the sockets of an IP address have received and their process
// hasn't read.
func unreadBytes(address string) int64 {
	const listening = "0A"
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0
	}
	ip := a.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	sum := int64(0)
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line) // number, local address, remote address, state, queues
		if len(f) < 5 || !strings.HasPrefix(f[1], local) || f[3] == listening {
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += n
	}
	return sum
}

const (
	// crowdReconnectDelay is how long a client of a crowd waits before it connects again.
	crowdReconnectDelay = 100 * time.Millisecond
	// crowdSettleTime is the time for a crowd to take all that it can get.
	crowdSettleTime = 2 * time.Second
	// trickleInterval is the time between two bytes of a head that doesn't end.
	trickleInterval = 50 * time.Millisecond
)

// crowd is a number of clients that connect again whenever their connection is closed.
type crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	begun   sync.WaitGroup
}

// startCrowd starts n clients. It returns once each has run for the first time, or holds
// its first connection for as long as that takes.
func startCrowd(address string, n int, client func(ctx context.Context, i int, c net.Conn, begun func())) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	w := &crowd{cancel: cancel}
	w.begun.Add(n)
	for i := range n {
		w.clients.Go(func() {
			begun := sync.OnceFunc(w.begun.Done)
			for ctx.Err() == nil {
				if c, err := net.DialTimeout("tcp", address, clientTimeout); err == nil {
					closeAtEnd := context.AfterFunc(ctx, func() { _ = c.Close() })
					client(ctx, i, c, begun)
					closeAtEnd()
					_ = c.Close()
				}
				begun()
				select {
				case <-ctx.Done():
				case <-time.After(crowdReconnectDelay):
				}
			}
		})
	}
	w.begun.Wait()
	return w
}

// stop closes the connections of the crowd.
func (w *crowd) stop() {
	w.cancel()
	w.clients.Wait()
}

// trickle sends the beginning of a head, and then one byte after the other until the
// connection is closed.
func trickle(ctx context.Context, c net.Conn, head []byte, begun func()) {
	if _, err := c.Write(head); err != nil {
		return
	}
	begun()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(trickleInterval):
		}
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
	}
}

// headOfLines returns a head with the given line repeated, without the empty line that
// ends it, up to a number of lines and bytes. If the line has a verb, each gets another
// number.
func headOfLines(method, id, line string, lines, size int) *bytes.Buffer {
	head := requestHead(method, id)
	for n := 0; n < lines && head.Len() < size-len(line)-8; n++ {
		if strings.Contains(line, "%x") {
			fmt.Fprintf(head, line, n)
		} else {
			head.WriteString(line)
		}
	}
	return head
}

// maxOrdinaryAttempts is how often an ordinary caller tries, each time on a new
// connection.
const maxOrdinaryAttempts = 3

// ordinaryCaller reports whether a caller that retries as the platform's clients do gets
// the answer of a target.
func ordinaryCaller(g *gateway) bool {
	for range maxOrdinaryAttempts {
		if ordinaryRequest(g) {
			return true
		}
	}
	return false
}
