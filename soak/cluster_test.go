package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/target"
	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// slots and serviceTime let the callers occupy all slots of a target
	// occasionally.
	slots       = 6
	serviceTime = 10 * time.Millisecond
)

// backend is a sequence of target processes behind one link.
type backend struct {
	service, domain string
	link            *Proxy

	mu         sync.Mutex
	server     *wire.Server
	generation int
	replacing  bool
	// announcing is the server whose announcement an event controls, or nil.
	announcing *wire.Server
}

// cluster is a deployment of VM processes and stand-ins.
type cluster struct {
	size     Size
	check    *checker
	history  *history
	store    *wire.Store
	vms      []*gateway
	backends []*backend

	mu sync.Mutex
	// stops holds the times at which the planned stops of the running VM
	// processes began.
	stops       map[*gateway]time.Time
	evacuations map[string]int
	closing     bool
	events      sync.WaitGroup
}

func domainOf(i, domains int) string { return fmt.Sprint("z", i%domains) }

// startCluster starts a deployment and waits until all VMs are ready.
func startCluster(program, dir string, size Size, check *checker) (*cluster, error) {
	c := &cluster{
		size: size, check: check, history: check.history, store: wire.NewStore(),
		stops: make(map[*gateway]time.Time), evacuations: make(map[string]int),
	}
	c.configure(1)
	for i := range size.Targets {
		b := &backend{service: "desk", domain: domainOf(i/2, size.Domains)}
		if i%2 == 1 {
			b.service = "seats"
		}
		c.backends = append(c.backends, b)
		if err := c.startTarget(b, fmt.Sprintf("t%d.0", i), 0); err != nil {
			return c, err
		}
	}
	var seeds []string
	for i := range size.VMs {
		g, err := newGateway(program, dir, i, domainOf(i, size.Domains), c.store, seeds)
		if err != nil {
			return c, err
		}
		c.vms = append(c.vms, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.peers)
		}
		if err := c.startVM(g); err != nil {
			return c, err
		}
	}
	for _, g := range c.vms {
		if !eventually(g.isReady) {
			return c, fmt.Errorf("soak: %s was not ready within %v", g.name, progressTimeout)
		}
	}
	return c, nil
}

// progressTimeout limits the wait for conditions that must hold eventually. It
// allows for a very busy host.
const progressTimeout = 60 * time.Second

func eventually(f func() bool) bool {
	for end := time.Now().Add(progressTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func (c *cluster) startVM(g *gateway) error {
	return g.start(func(planned bool, state *os.ProcessState) {
		if planned {
			return
		}
		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()
		if !closing {
			c.check.report(ProcessExit, "%s exited unexpectedly: %v", g.name, state)
		}
	})
}

// stopOf returns the number of starts of a VM, and when the planned stop of its
// process began; zero if none did.
func (c *cluster) stopOf(g *gateway) (int, time.Time) {
	g.mu.Lock()
	starts := g.starts
	g.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return starts, c.stops[g]
}

func (c *cluster) configure(step int) {
	v := c.check.nextConfig(step)
	if err := c.store.Configure(v.document()); err != nil {
		c.check.report(ConfigInForce, "%v", err)
		return
	}
	c.check.acceptedConfig()
}

// startTarget starts a target process of a backend.
func (c *cluster) startTarget(b *backend, id string, cold time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := wire.ServerOptions{
		ID: id, Service: b.service, Zone: b.domain, Slots: slots, Sharded: b.service == "seats", Cold: cold, Observer: c.check,
		Crashes: isCrashing,
	}
	// The target listens on a port that the kernel picks, and the link gets its
	// address afterwards. A port that is chosen and released first may be taken
	// by another process.
	first := b.link == nil
	if first {
		link, err := NewProxy()
		if err != nil {
			return err
		}
		b.link = link
	}
	o.Advertise = b.link.Address()
	server, err := wire.StartServer(c.store, o)
	if err != nil {
		return fmt.Errorf("soak: target %s: %w", id, err)
	}
	b.server = server
	b.link.SetTarget(server.Address())
	if !first {
		if err := b.link.Listen(); err != nil {
			return err
		}
	}
	b.server.SetFaults(target.Faults{ServiceTime: serviceTime})
	b.replacing = false
	return nil
}

// clearFaults ends the faults that interrupted events may have left.
func (c *cluster) clearFaults() {
	c.store.SetFaults(platform.Faults{})
	for _, g := range c.vms {
		g.rejected.Store(false)
		g.storeLink.SetCut(CutNone)
		g.signal(syscall.SIGCONT)
	}
	for _, b := range c.backends {
		b.link.SetCut(CutNone)
		b.link.SetDelay(0)
	}
}

func (c *cluster) callers(ctx context.Context, seed uint64) *sync.WaitGroup {
	var running sync.WaitGroup
	for i, g := range c.vms {
		for j := range callersPerVM {
			caller := &caller{
				name: fmt.Sprintf("%s.%d", g.name, j), vm: g, check: c.check, stopOf: c.stopOf,
				random: rand.New(rand.NewPCG(seed, uint64(i*callersPerVM+j))),
			}
			running.Add(1)
			go func() {
				defer running.Done()
				caller.run(ctx)
			}()
		}
	}
	return &running
}

func (c *cluster) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	for _, g := range c.vms {
		g.close()
	}
	for _, b := range c.backends {
		if b.server != nil {
			b.server.Stop()
		}
		if b.link != nil {
			b.link.Close()
		}
	}
}
