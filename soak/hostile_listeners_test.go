package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/mesh"
	"celeryhook.example/celeryhook/internal/roster"
)

// Guards against clients that make a VM exit with heads that don't end, sent to the
// listeners for the load balancer's probes and for other VMs, and against such a crowd
// that keeps probes and messages out.
func TestHostileClientsOfOtherListeners(t *testing.T) {
	const clients = 300
	for name, addresses := range map[string]func(*gateway) []string{
		"probes":   func(g *gateway) []string { return []string{g.ready} },
		"messages": func(g *gateway) []string { return []string{g.peers} },
		"both":     func(g *gateway) []string { return []string{g.ready, g.peers} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := startLimitedVM(t, hostileMemoryMB, hostileMaxFDs, 0)
			stop := watchPeaks(g.cmd.Process.Pid, g.callers)
			var crowds []*crowd
			for _, a := range addresses(g.gateway) {
				crowds = append(crowds, startCrowd(a, clients, endlessHead))
			}
			time.Sleep(crowdSettleTime)
			probed, told, answered := false, false, false
			for range maxOrdinaryAttempts {
				probed = probed || g.isReady()
				told = told || takesMessage(t, g.gateway)
				answered = answered || ordinaryRequest(g.gateway)
			}
			for _, w := range crowds {
				w.stop()
			}
			g.requireWithinLimits(t, stop())
			is.True(probed)   // a probe is answered beside the crowd
			is.True(told)     // a message of another VM is answered beside the crowd
			is.True(answered) // an ordinary request is answered beside the crowd
			is.True(eventually(g.isReady))
			is.True(eventually(func() bool { return ordinaryRequest(g.gateway) }))
		})
	}
}

// endlessHeads are heads of short lines without an end.
var endlessHeads = sync.OnceValue(func() (heads [][]byte) {
	const maxLines = endlessBytes / 4
	for _, line := range []string{"a:\r\n", "%x:\r\n"} {
		heads = append(heads, headOfLines("GET", "endless", line, maxLines, endlessBytes).Bytes())
	}
	return heads
})

// endlessHead sends a head that doesn't end, and holds the connection.
func endlessHead(_ context.Context, i int, c net.Conn, begun func()) {
	heads := endlessHeads()
	if _, err := c.Write(heads[i%len(heads)]); err == nil {
		begun()
		discardUntilClosed(c)
	}
}

// takesMessage reports whether a VM answers a message of another one.
func takesMessage(t *testing.T, g *gateway) bool {
	ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
	defer cancel()
	peer := mesh.NewClient(duty.NewBootClock()).Peer(roster.Member{VM: core.VM(g.name), Address: g.peers})
	_, err := peer.Sync(ctx, nil, 0)
	return err == nil
}

// discardUntilClosed reads until the connection is closed.
func discardUntilClosed(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
