package soak

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/wire"
)

// Guards against clients that keep ordinary callers out with heads that don't end or are
// too large: they take all connections, or all memory.
func TestUnfinishedHeadsLeaveRoom(t *testing.T) {
	short := append(requestHead("GET", "short").Bytes(), "b: "...)
	for name, c := range map[string]struct {
		memoryMB, maxFDs, clients int
		heads                     [][]byte
	}{
		"connections": {144, 300, 200, [][]byte{short}},
		"too large":   {144, 300, 300, [][]byte{append(bytes.Clone(short), bytes.Repeat([]byte("x"), endlessBytes)...)}},
		"memory": {100, 2000, 450, [][]byte{
			append(headOfLines("GET", "long", "a:\r\n", 950, 1<<20).Bytes(), "b: "+strings.Repeat("x", 56<<10)...),
			append(headOfLines("GET", "legal", "a:\r\n", 950, 1<<20).Bytes(), "b: "+strings.Repeat("x", 12<<10)...),
			append(headOfLines("GET", "lines", "%x:\r\n", 1<<20, legalHeadBytes-1000).Bytes(), "b: "...),
			short, short,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := startLimitedVM(t, c.memoryMB, c.maxFDs, 0)
			stop := watchPeaks(g.cmd.Process.Pid, g.callers)
			w := startCrowd(g.callers, c.clients, func(ctx context.Context, i int, conn net.Conn, begun func()) {
				trickle(ctx, conn, c.heads[i%len(c.heads)], begun)
			})
			time.Sleep(crowdSettleTime)
			answered := ordinaryCaller(g.gateway)
			w.stop()
			g.requireWithinLimits(t, stop())
			if !answered {
				t.Error("an ordinary request isn't answered beside the crowd")
			}
			if !eventually(func() bool { return ordinaryRequest(g.gateway) }) {
				t.Error("an ordinary request isn't answered after the crowd has left")
			}
		})
	}
}

// Guards against a VM that denies a single request within the limits of the
// configuration because its head has many lines.
func TestLegalHeadOfManyLinesIsServed(t *testing.T) {
	g := startLimitedVM(t, hostileMemoryMB, hostileMaxFDs, 0)
	for name, line := range map[string]string{"short": "a:\r\n", "short, distinct": "%x:\r\n", "with values": "a: b\r\n", "with values, distinct": "x%x: b\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := headOfLines("GET", "lines", line, 1<<20, legalHeadBytes)
			head.WriteString("\r\n")
			is.True(head.Len() <= legalHeadBytes)
			status, stamped := 0, false
			for range maxOrdinaryAttempts {
				if status, stamped = exchangeHead(t, g.callers, head.Bytes()); status != 0 && status != http.StatusServiceUnavailable {
					break
				}
			}
			is.Equal(status, http.StatusOK)
			is.True(stamped)
		})
	}
	if !ordinaryCaller(g.gateway) {
		t.Error("an ordinary request isn't answered")
	}
}

// exchangeHead sends a request without a body. It returns the status, 0 if there was no
// response, and whether a target has answered.
func exchangeHead(t *testing.T, address string, head []byte) (status int, stamped bool) {
	c, err := net.DialTimeout("tcp", address, clientTimeout)
	is.New(t).NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := c.Write(head); err != nil {
		return 0, false
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode, wire.Stamp(res.Header) != ""
}
