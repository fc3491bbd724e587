package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/target"
	"celeryhook.example/celeryhook/standin/wire"
)

// The limits of the VM in TestHostileClients. The process must stay below both.
const (
	hostileMemoryMB = 144
	hostileMaxFDs   = 300
	hostileMaxBody  = 64 << 20
)

// The crowd of TestHostileClients: connections of each kind, all open at once. The
// bodies together are twice the memory of the VM.
const (
	shortLineClients  = 100
	endlessClients    = 100
	emptyLineClients  = 100
	pipeliningClients = 100
	bodyClients       = 6
	hostileBodyBytes  = 48 << 20
	// legalHeadBytes is the limit for a head in the configuration.
	legalHeadBytes = 16384
	// endlessBytes is what a client sends of data that doesn't end.
	endlessBytes = 1 << 20
	// clientTimeout ends a client whose connection the process neither reads nor
	// closes.
	clientTimeout = 10 * time.Second
)

// Guards against clients that make a VM exit: with heads of very many lines, heads
// and empty lines without end, and large bodies at once, its process took more memory
// and descriptors than it has.
func TestHostileClients(t *testing.T) {
	is := is.New(t)
	store := wire.NewStore()
	is.NoErr(store.Configure(wire.Config{
		Version: 1, Timeout: 4 * time.Second, MaxBodyBytes: hostileMaxBody,
		Routes:   []wire.Route{{Name: "read", Prefix: "/read/", Service: "desk"}},
		Services: []wire.ServiceOptions{{Name: "desk", MaxConns: 200, Cold: coldTime, ColdRate: coldRate}},
	}))
	for i := range 2 {
		s, err := wire.StartServer(store, wire.ServerOptions{ID: fmt.Sprint("t", i), Service: "desk", Zone: "z0", Slots: 8})
		is.NoErr(err)
		defer s.Stop()
		s.SetFaults(target.Faults{ServiceTime: 200 * time.Millisecond})
	}
	g, err := newGateway(build(t), t.TempDir(), 0, "z0", store, nil)
	is.NoErr(err)
	defer g.close()
	settings, err := wire.VM{
		Name: g.name, IP: "127.0.1.1", Zone: g.domain, Callers: g.callers, Ready: g.ready, Peers: g.peers, Store: g.storeLink.Address(),
		MemoryMB: hostileMemoryMB, MaxFDs: hostileMaxFDs,
	}.Settings()
	is.NoErr(err)
	is.NoErr(os.WriteFile(g.settings, settings, 0o600))
	is.NoErr(g.start(func(bool, *os.ProcessState) {}))
	is.True(eventually(g.isReady))
	is.True(eventually(func() bool { return ordinaryRequest(g) }))

	var maxFDs atomic.Int64
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for {
			maxFDs.Store(max(maxFDs.Load(), openFDs(g.cmd.Process.Pid)))
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	runCrowd(g.callers)
	close(stop)
	<-watched

	g.mu.Lock()
	alive := g.running()
	g.mu.Unlock()
	if !alive {
		logProcessOutput(t, g.dir)
		t.Fatal("the process has exited")
	}
	memory := peakMemoryKB(t, g.cmd.Process.Pid)
	t.Logf("peak of the resident memory %d KB of %d, of the open descriptors %d of %d", memory, hostileMemoryMB<<10, maxFDs.Load(), hostileMaxFDs)
	if memory > hostileMemoryMB<<10 {
		t.Errorf("resident memory of %d KB is over the limit of %d MB", memory, hostileMemoryMB)
	}
	if n := maxFDs.Load(); n > hostileMaxFDs {
		t.Errorf("%d open descriptors are over the limit of %d", n, hostileMaxFDs)
	}
	if !eventually(func() bool { return ordinaryRequest(g) }) {
		t.Error("an ordinary request isn't answered after the crowd has left")
	}
}

// runCrowd runs all hostile clients at once, until the last has ended.
func runCrowd(address string) {
	var crowd sync.WaitGroup
	run := func(n int, client func(i int, c net.Conn)) {
		for i := range n {
			crowd.Go(func() {
				c, err := net.DialTimeout("tcp", address, clientTimeout)
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(clientTimeout))
				client(i, c)
			})
		}
	}
	run(shortLineClients, func(i int, c net.Conn) {
		head := requestHead("GET", fmt.Sprint("lines", i))
		for n := 0; head.Len() < legalHeadBytes-16; n++ {
			if i%2 == 0 {
				head.WriteString("a:\r\n")
			} else {
				fmt.Fprintf(head, "%x:\r\n", n) // names that differ
			}
		}
		head.WriteString("\r\n")
		// The client repeats the request, as long as the connection is open.
		for range 4 {
			if _, err := c.Write(head.Bytes()); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, c)
	})
	run(endlessClients, func(i int, c net.Conn) {
		head := requestHead("GET", fmt.Sprint("endless", i))
		line := []string{"a:\r\n", "b: " + strings.Repeat("x", 4<<10) + "\r\n", strings.Repeat("x", 4<<10), ":\n"}[i%4]
		if _, err := c.Write(head.Bytes()); err == nil {
			sendEndless(c, line)
		}
	})
	run(emptyLineClients, func(i int, c net.Conn) { sendEndless(c, []string{"\r\n", "\n"}[i%2]) })
	run(pipeliningClients, func(i int, c net.Conn) {
		head := requestHead("GET", fmt.Sprint("pipelined", i))
		head.WriteString("\r\n")
		sendEndless(c, head.String())
	})
	body := make([]byte, hostileBodyBytes)
	run(bodyClients, func(i int, c net.Conn) {
		head := requestHead("POST", fmt.Sprint("body", i))
		fmt.Fprintf(head, "Content-Length: %d\r\n\r\n", len(body))
		if _, err := c.Write(head.Bytes()); err != nil {
			return
		}
		if _, err := c.Write(body); err == nil {
			_, _ = io.CopyN(io.Discard, c, 1)
		}
	})
	crowd.Wait()
}

// requestHead returns a head without the empty line that ends it.
func requestHead(method, id string) *bytes.Buffer {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /read/%s HTTP/1.1\r\nHost: %s\r\n", method, id, wire.Host)
	_ = wire.RequestHeader(id, 4*time.Second, 0).Write(&b) // a bytes.Buffer returns no error
	return &b
}

// sendEndless sends the text again and again and then waits until the connection is
// closed.
func sendEndless(c net.Conn, text string) {
	b := bytes.Repeat([]byte(text), max(1, 16<<10/len(text)))
	for sent := 0; sent < endlessBytes; sent += len(b) {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

// ordinaryRequest reports whether a small request is answered by a target.
func ordinaryRequest(g *gateway) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+g.callers+"/read/ordinary", nil)
	if err != nil {
		return false
	}
	req.Host = wire.Host
	req.Header = wire.RequestHeader(fmt.Sprint("ordinary", time.Now().UnixNano()), 4*time.Second, 0)
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK && wire.Stamp(res.Header) != ""
}

// openFDs returns the number of open descriptors of a process; 0 if it has exited.
func openFDs(pid int) int64 {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0
	}
	return int64(len(entries))
}

// peakMemoryKB returns the largest resident memory that a process had so far.
func peakMemoryKB(t *testing.T, pid int) int64 {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			is.New(t).NoErr(err)
			return kb
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}
