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
	// slots and serviceTime make targets that are busy now and then.
	slots       = 6
	serviceTime = 10 * time.Millisecond
)

// seat is a place at which one target's process follows another.
type seat struct {
	service, domain string
	link            *Proxy

	mu      sync.Mutex
	server  *wire.Server
	changes int
	leaving bool
}

// cluster is a deployment whose VMs are processes.
type cluster struct {
	size    Size
	check   *checker
	history *history
	store   *wire.Store
	vms     []*gateway
	seats   []*seat

	mu sync.Mutex
	// stops holds when the running process of a VM was told to stop.
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
		s := &seat{service: "desk", domain: domainOf(i/2, size.Domains)}
		if i%2 == 1 {
			s.service = "seats"
		}
		c.seats = append(c.seats, s)
		if err := c.seatTarget(s, fmt.Sprintf("t%d.0", i), 0); err != nil {
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
			return c, fmt.Errorf("soak: %s was not ready within %v", g.name, progressTime)
		}
	}
	return c, nil
}

// progressTime bounds what must happen at some time, on a machine that may be
// very busy.
const progressTime = 60 * time.Second

func eventually(f func() bool) bool {
	for end := time.Now().Add(progressTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
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
			c.check.report(Process, "%s ended by itself: %v", g.name, state)
		}
	})
}

// stopOf returns the count of a VM's process and when it was told to stop.
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
		c.check.report(InForce, "%v", err)
		return
	}
	c.check.acceptedConfig()
}

// seatTarget starts a target's process at a seat.
func (c *cluster) seatTarget(s *seat, id string, cold time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := wire.ServerOptions{
		ID: id, Service: s.service, Zone: s.domain, Slots: slots, Sharded: s.service == "seats", Cold: cold, Observer: c.check,
	}
	// The target listens at a port that the kernel picks, and the link learns it
	// afterwards: a port that is given back for a moment may be taken.
	first := s.link == nil
	if first {
		link, err := NewProxy()
		if err != nil {
			return err
		}
		s.link = link
	}
	o.Advertise = s.link.Address()
	server, err := wire.StartServer(c.store, o)
	if err != nil {
		return fmt.Errorf("soak: target %s: %w", id, err)
	}
	s.server = server
	s.link.SetTarget(server.Address())
	if !first {
		if err := s.link.Accept(); err != nil {
			return err
		}
	}
	s.server.SetFaults(target.Faults{ServiceTime: serviceTime})
	s.leaving = false
	return nil
}

// heal ends what events may have left behind.
func (c *cluster) heal() {
	c.store.SetFaults(platform.Faults{})
	for _, g := range c.vms {
		g.refused.Store(false)
		g.storeLink.SetCut(CutNone)
		g.signal(syscall.SIGCONT)
	}
	for _, s := range c.seats {
		s.link.SetCut(CutNone)
		s.link.SetDelay(0)
	}
}

func (c *cluster) callers(ctx context.Context, seed uint64) *sync.WaitGroup {
	var running sync.WaitGroup
	for i, g := range c.vms {
		for j := range callersPerVM {
			caller := &caller{
				name: fmt.Sprintf("%s.%d", g.name, j), vm: g, check: c.check, stopped: c.stopOf,
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
	for _, s := range c.seats {
		if s.server != nil {
			s.server.Stop()
		}
		if s.link != nil {
			s.link.Close()
		}
	}
}
