package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"celeryhook.example/celeryhook/internal/inbound"
	"celeryhook.example/celeryhook/internal/memory"
)

const (
	// messageConnShare and probeConnShare are the divisors for the parts of the
	// descriptors that connections of other VMs, and of the load balancer and those who
	// read metrics, may take.
	messageConnShare, probeConnShare = 8, 64
	// defaultMessageConns and defaultProbeConns apply if the number of descriptors isn't
	// known; minMessageConns and minProbeConns are the least.
	defaultMessageConns, defaultProbeConns = 4096, 256
	minMessageConns, minProbeConns         = 32, 8
	// connMemoryShare is the divisor for the part of the VM's memory that connections of
	// other VMs, of messageConnBytes each, may take.
	connMemoryShare  = 16
	messageConnBytes = 32 << 10
	// messageHeadShare and probeHeadShare are the divisors for the sizes of the accounts
	// of heads, taken from that of the memory account.
	messageHeadShare, probeHeadShare = 16, 64
	// maxHeadBytes bounds the head of a message or probe, of which neither has more than
	// some hundred bytes.
	maxHeadBytes = 8 << 10
	// headTimeout bounds the time for a head.
	headTimeout = 5 * time.Second
)

// messageLimits returns the limits for the connections of other VMs.
func (s Settings) messageLimits() inbound.Limits {
	conns := connsOf(s.MaxFDs, messageConnShare, defaultMessageConns)
	if s.Memory > 0 {
		conns = min(conns, int(s.Memory/connMemoryShare/messageConnBytes))
	}
	return inbound.Limits{
		Conns: max(conns, minMessageConns), HeadBytes: maxHeadBytes, Heads: memory.NewAccount(memory.Limit(s.Memory) / messageHeadShare),
	}
}

// probeLimits returns the limits for each of the listeners of the load balancer's probes
// and of metrics.
func (s Settings) probeLimits() inbound.Limits {
	return inbound.Limits{
		Conns:     max(connsOf(s.MaxFDs, probeConnShare, defaultProbeConns), minProbeConns),
		HeadBytes: maxHeadBytes, Heads: memory.NewAccount(memory.Limit(s.Memory) / probeHeadShare),
	}
}

// connsOf returns a part of the descriptors, or the fallback if their number isn't known.
func connsOf(maxFDs int64, share, fallback int) int {
	if maxFDs <= 0 {
		return fallback
	}
	return int(maxFDs) / share
}

// startServer starts an HTTP server that runs until stop.
func (n *Process) startServer(name, address string, h http.Handler, limits inbound.Limits) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout}
	guard := inbound.NewGuard(name, limits, n.metrics)
	guard.Protect(server)
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(guard.Listener(l)); !errors.Is(err, http.ErrServerClosed) {
			n.log.Error(err, "listener failed", "address", address)
		}
	}()
	return nil
}
