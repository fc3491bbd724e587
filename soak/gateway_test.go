package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// gateway is a VM. Its process can be started again after it has exited.
type gateway struct {
	name, domain          string
	program, dir          string
	callers, ready, peers string
	settings              string
	// callerLink and storeLink are proxies in front of the VM and of its store.
	callerLink, storeLink *Proxy
	// rejected is set while the store rejects the requests of the VM.
	rejected atomic.Bool
	store    *http.Server

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	starts  int
	paused  bool
	planned bool
}

func newGateway(program, dir string, i int, domain string, store *wire.Store, seeds []string) (*gateway, error) {
	g := &gateway{name: fmt.Sprintf("vm%d", i), domain: domain, program: program, dir: dir}
	if err := g.serveStore(store); err != nil {
		return nil, err
	}
	// Each VM has its own loopback address, so that connections of other
	// processes don't take its ports while it restarts.
	ip := fmt.Sprintf("127.0.%d.%d", 1+i/250, 1+i%250)
	free, err := freeAddresses(ip, 3)
	if err != nil {
		return nil, err
	}
	g.callers, g.ready, g.peers = free[0], free[1], free[2]
	if g.callerLink, err = NewProxy(); err != nil {
		return nil, err
	}
	g.callerLink.SetTarget(g.callers)
	g.settings = filepath.Join(dir, g.name+".json")
	b, err := wire.VM{
		Name: g.name, IP: ip, Zone: domain, Seeds: seeds, Callers: g.callers, Ready: g.ready, Peers: g.peers, Store: g.storeLink.Address(),
	}.Settings()
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(g.settings, b, 0o600); err != nil {
		return nil, fmt.Errorf("soak: settings of %s: %w", g.name, err)
	}
	return g, nil
}

// serveStore serves the store on a listener for this VM only, so that its
// requests can be rejected.
func (g *gateway) serveStore(store *wire.Store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("soak: store of %s: %w", g.name, err)
	}
	g.store = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.rejected.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	})}
	go func() { _ = g.store.Serve(l) }()
	if g.storeLink, err = NewProxy(); err != nil {
		return err
	}
	g.storeLink.SetTarget(l.Addr().String())
	return nil
}

// freeAddresses returns n addresses with distinct ports that were free just now.
// It holds all listeners open until it returns, so that the ports differ.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("soak: free port at %s: %w", ip, err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// start starts a new process, unless one is running. When it exits, onExit is
// called with its state and whether the test caused the exit.
func (g *gateway) start(onExit func(planned bool, state *os.ProcessState)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running() {
		return nil
	}
	g.starts++
	out, err := os.Create(filepath.Join(g.dir, fmt.Sprintf("%s.%d.log", g.name, g.starts)))
	if err != nil {
		return fmt.Errorf("soak: log of %s: %w", g.name, err)
	}
	defer func() { _ = out.Close() }()
	g.cmd = exec.Command(g.program, "gateway", "--settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	// Signals to the process group of the test must not reach the VMs.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	g.exited, g.planned, g.paused = make(chan struct{}), false, false
	if err := g.cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", g.name, err)
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the error is part of the ProcessState
		g.mu.Lock()
		planned := g.planned
		g.mu.Unlock()
		close(exited)
		onExit(planned, cmd.ProcessState)
	}(g.cmd, g.exited)
	return nil
}

// running must be called with the lock held.
func (g *gateway) running() bool {
	if g.cmd == nil {
		return false
	}
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// signal reports whether the signal was sent. It is not sent if the process has
// exited, or if it conflicts with a signal of another event.
func (g *gateway) signal(s syscall.Signal) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running() {
		return false
	}
	switch s {
	case syscall.SIGTERM, syscall.SIGKILL:
		if g.planned && s == syscall.SIGTERM {
			return false
		}
		g.planned = true
	case syscall.SIGSTOP:
		if g.paused || g.planned {
			return false
		}
		g.paused = true
	case syscall.SIGCONT:
		g.paused = false
	}
	return g.cmd.Process.Signal(s) == nil
}

// wait reports whether the process exits within a time.
func (g *gateway) wait(d time.Duration) bool {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + g.ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (g *gateway) close() {
	if g.cmd != nil {
		g.signal(syscall.SIGKILL)
		g.wait(gracePeriod)
	}
	_ = g.store.Close()
	for _, p := range []*Proxy{g.callerLink, g.storeLink} {
		if p != nil {
			p.Close()
		}
	}
}
