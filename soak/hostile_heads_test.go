package soak

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against clients that keep ordinary callers out with heads that don't end: they
// take all connections, or all memory.
func TestUnfinishedHeadsLeaveRoom(t *testing.T) {
	short := append(requestHead("GET", "short").Bytes(), "b: "...)
	for name, c := range map[string]struct {
		memoryMB, maxFDs, clients int
		heads                     [][]byte
	}{
		"connections": {144, 300, 200, [][]byte{short}},
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
