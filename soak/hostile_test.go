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
	"testing"
	"time"

	"github.com/matryer/is"

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
	g := startLimitedVM(t, hostileMemoryMB, hostileMaxFDs, hostileMaxBody)
	stop := watchPeaks(g.cmd.Process.Pid, g.callers)
	runCrowd(g.callers)
	p := stop()
	g.requireWithinLimits(t, p)
	if !eventually(func() bool { return ordinaryRequest(g.gateway) }) {
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
