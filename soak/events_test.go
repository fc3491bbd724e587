package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/target"
	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// slowTime is the service time of a slow target.
	slowTime = 150 * time.Millisecond
	// lapseTime is how long the registration of a target that ended without
	// notice stays.
	lapseTime = 2 * time.Second
	// restartPause is how long a killed VM or target is away.
	restartPause = 700 * time.Millisecond
	// linkDelay is the delay of a slow link, in each direction.
	linkDelay = 60 * time.Millisecond
	// storeDelay is the delay of a slow store.
	storeDelay = 300 * time.Millisecond
)

// play carries out events at their times, each in its own goroutine, and
// returns when all are over.
func (c *cluster) play(ctx context.Context, events []Event) {
	began := time.Now()
	for _, e := range events {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(e.At))):
		}
		if ctx.Err() != nil {
			break
		}
		c.events.Add(1)
		go func() {
			defer c.events.Done()
			c.apply(e)
		}()
	}
	c.events.Wait()
}

func (c *cluster) apply(e Event) {
	switch e.Kind {
	case StopVM, KillVM, PauseVM, ReloadVM, CutStore, RefuseStore, ResetStore, ResetCaller:
		c.applyVM(e, c.vms[e.Subject])
	case StoreDown, StoreSlow, StoreLoses, StoreForget:
		c.applyStore(e)
	case Configure:
		c.configure(1 + int(e.For/time.Second))
	case Evacuate:
		c.evacuate(e)
	default:
		c.applyTarget(e, c.seats[e.Subject])
	}
}

func (c *cluster) applyVM(e Event, g *gateway) {
	p := place(g.name)
	switch e.Kind {
	case StopVM:
		c.stopVM(g)
	case KillVM:
		if g.signal(syscall.SIGKILL) {
			defer c.history.begin(p)()
			g.wait(grace)
			time.Sleep(restartPause)
			c.restartVM(g)
		}
	case PauseVM:
		if g.signal(syscall.SIGSTOP) {
			defer c.history.begin(p)()
			time.Sleep(e.For)
			g.signal(syscall.SIGCONT)
		}
	case ReloadVM:
		g.signal(syscall.SIGHUP)
	case CutStore:
		defer c.history.begin(p)()
		g.storeLink.SetCut(e.Cut)
		time.Sleep(e.For)
		g.storeLink.SetCut(CutNone)
	case RefuseStore:
		defer c.history.begin(p)()
		g.refused.Store(true)
		time.Sleep(e.For)
		g.refused.Store(false)
	case ResetStore:
		c.history.instant(p)
		g.storeLink.Reset()
	case ResetCaller:
		c.history.instant(p)
		g.callerLink.Reset()
	}
}

// stopVM stops a VM as planned and starts it again.
func (c *cluster) stopVM(g *gateway) {
	c.mu.Lock()
	if _, stopping := c.stops[g]; stopping {
		c.mu.Unlock()
		return
	}
	end, at := c.history.beginAt(place(g.name))
	c.stops[g] = at
	c.mu.Unlock()
	defer end()
	if !g.signal(syscall.SIGTERM) {
		return
	}
	if !g.wait(grace) && !g.wait(grace*c.check.slack) {
		c.check.report(Process, "%s runs %v after SIGTERM", g.name, time.Since(at))
		g.signal(syscall.SIGKILL)
		g.wait(grace)
	}
	c.restartVM(g)
}

func (c *cluster) restartVM(g *gateway) {
	c.mu.Lock()
	delete(c.stops, g)
	c.mu.Unlock()
	if err := c.startVM(g); err != nil {
		c.check.report(Process, "%v", err)
	}
}

func (c *cluster) applyStore(e Event) {
	switch e.Kind {
	case StoreDown:
		c.store.SetFaults(platform.Faults{Down: true})
	case StoreSlow:
		c.store.SetFaults(platform.Faults{Delay: storeDelay})
	case StoreLoses:
		c.store.SetFaults(platform.Faults{LoseResponses: 1 + int(e.For/time.Second)})
	case StoreForget:
		c.store.CompactTopics()
		return
	}
	defer c.history.begin(theStore)()
	time.Sleep(e.For)
	c.store.SetFaults(platform.Faults{})
}

func (c *cluster) evacuate(e Event) {
	name := domainOf(e.Subject, c.size.Domains)
	c.mu.Lock()
	c.evacuations[name]++
	c.mu.Unlock()
	c.store.Evacuate(name, true)
	c.check.setEvacuated(name, true)
	time.Sleep(evacuateBound + e.For)
	c.mu.Lock()
	c.evacuations[name]--
	back := c.evacuations[name] == 0
	c.mu.Unlock()
	if back {
		c.check.setEvacuated(name, false)
		c.store.Evacuate(name, false)
	}
}

func (c *checker) setEvacuated(domain string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !on {
		delete(c.evacuated, domain)
	} else if _, ok := c.evacuated[domain]; !ok {
		c.evacuated[domain] = time.Now()
	}
}

func (c *checker) setLeaving(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[target] = time.Now()
}

func (c *cluster) applyTarget(e Event, s *seat) {
	s.mu.Lock()
	server, leaving := s.server, s.leaving
	if leaving {
		s.mu.Unlock()
		return // its process is being replaced
	}
	replaced := e.Kind == KillTarget || e.Kind == RestartTarget || e.Kind == DrainTarget
	s.leaving = replaced
	s.changes++
	next := fmt.Sprintf("t%d.%d", e.Subject, s.changes)
	s.mu.Unlock()
	p := place(server.ID)
	switch e.Kind {
	case KillTarget, RestartTarget:
		end := c.history.begin(p)
		s.link.Refuse()
		server.Stop()
		time.Sleep(restartPause)
		if e.Kind == RestartTarget {
			next = server.ID
		} else {
			time.AfterFunc(lapseTime, server.Remove)
		}
		end()
		c.replace(s, next)
	case DrainTarget:
		server.Register("draining")
		c.check.setLeaving(server.ID)
		time.Sleep(drainBound + e.For)
		s.link.Refuse()
		server.Stop()
		server.Remove()
		c.replace(s, next)
	case CutTarget:
		defer c.history.begin(p)()
		s.link.SetCut(e.Cut)
		time.Sleep(e.For)
		s.link.SetCut(CutNone)
	case DelayTarget:
		defer c.history.begin(p)()
		s.link.SetDelay(linkDelay)
		time.Sleep(e.For)
		s.link.SetDelay(0)
	case ResetTarget:
		c.history.instant(p)
		s.link.Reset()
	case SpoilTarget:
		c.spoil(server, e, target.Faults{ServiceTime: serviceTime, Drop: 0.1, Cut: 0.1, DropOrders: 0.3})
	case SlowTarget:
		c.spoil(server, e, target.Faults{ServiceTime: slowTime})
	}
}

func (c *cluster) spoil(server *wire.Server, e Event, f target.Faults) {
	defer c.history.begin(place(server.ID))()
	server.SetFaults(f)
	time.Sleep(e.For)
	server.SetFaults(target.Faults{ServiceTime: serviceTime})
}

func (c *cluster) replace(s *seat, id string) {
	if err := c.seatTarget(s, id, coldTime); err != nil {
		c.check.report(Process, "%v", err)
	}
}
