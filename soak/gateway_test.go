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

// gateway is one VM: a process that is started again after it ended.
type gateway struct {
	name, domain          string
	program, dir          string
	callers, ready, peers string
	settings              string
	// callerLink and storeLink are the VM's links that can be disturbed.
	callerLink, storeLink *Proxy
	// refused is set while the store turns the VM away.
	refused atomic.Bool
	store   *http.Server

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	starts  int
	paused  bool
	planned bool
}

func newGateway(program, dir string, i int, domain string, store *wire.Store, seeds []string) (*gateway, error) {
	g := &gateway{name: fmt.Sprintf("vm%d", i), domain: domain, program: program, dir: dir}
	if err := g.openStore(store); err != nil {
		return nil, err
	}
	// Each VM has its own loopback address, so that a port that it leaves for a
	// moment is not taken by a connection of another.
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

// openStore serves the store to this VM alone, so that it can be turned away.
func (g *gateway) openStore(store *wire.Store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("soak: store of %s: %w", g.name, err)
	}
	g.store = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.refused.Load() {
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

// freeAddresses returns addresses that were free a moment ago. All are open at
// the same time, so that they differ.
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

// start runs a new process, unless another event has done so already. ended is
// called with whether the process's end was caused by the soak, and its state.
func (g *gateway) start(ended func(planned bool, state *os.ProcessState)) error {
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
	// Signals that the soak itself gets must not reach its processes.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	g.exited, g.planned, g.paused = make(chan struct{}), false, false
	if err := g.cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", g.name, err)
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the state says how it ended
		g.mu.Lock()
		planned := g.planned
		g.mu.Unlock()
		close(exited)
		ended(planned, cmd.ProcessState)
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

// signal reports whether the process runs and got the signal.
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

// wait reports whether the process ends within a time.
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
		g.wait(grace)
	}
	_ = g.store.Close()
	for _, p := range []*Proxy{g.callerLink, g.storeLink} {
		if p != nil {
			p.Close()
		}
	}
}
