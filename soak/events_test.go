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
	// removalDelay is the time after which the registration of a target that exited
	// without notice is removed.
	removalDelay = 2 * time.Second
	// restartDelay is the time between the exit and the restart of a killed VM or
	// target.
	restartDelay = 700 * time.Millisecond
	// linkDelay is the delay of a slow link, in each direction.
	linkDelay = 60 * time.Millisecond
	// restoreTime is how long a store is away that is restored from an older copy.
	restoreTime = 300 * time.Millisecond
	// storeDelay is the delay of a slow store.
	storeDelay = 300 * time.Millisecond
)

// runEvents applies each event at its time in a goroutine of its own, and returns
// when all have ended.
func (c *cluster) runEvents(ctx context.Context, events []Event) {
	start := time.Now()
	for _, e := range events {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(e.At))):
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
	case StopVM, KillVM, PauseVM, ReloadVM, CutStore, RejectStore, ResetStore, ResetCaller:
		c.applyVM(e, c.vms[e.Index])
	case StoreDown, StoreSlow, StoreLosesResponses, StoreCompact, StoreRestored:
		c.applyStore(e)
	case Configure:
		c.configure(1 + int(e.Duration/time.Second))
	case Evacuate:
		c.evacuate(e)
	case CrashRequest:
		c.crashRequest(e)
	default:
		c.applyTarget(e, c.backends[e.Index])
	}
}

func (c *cluster) applyVM(e Event, g *gateway) {
	comp := component(g.name)
	switch e.Kind {
	case StopVM:
		c.stopVM(g)
	case KillVM:
		if g.signal(syscall.SIGKILL) {
			defer c.history.begin(comp)()
			g.wait(gracePeriod)
			time.Sleep(restartDelay)
			c.restartVM(g)
		}
	case PauseVM:
		if g.signal(syscall.SIGSTOP) {
			defer c.history.begin(comp)()
			defer c.history.begin(frozen(g.name))()
			time.Sleep(e.Duration)
			g.signal(syscall.SIGCONT)
		}
	case ReloadVM:
		g.signal(syscall.SIGHUP)
	case CutStore:
		defer c.history.begin(comp)()
		g.storeLink.SetCut(e.Cut)
		time.Sleep(e.Duration)
		g.storeLink.SetCut(CutNone)
	case RejectStore:
		defer c.history.begin(comp)()
		g.rejected.Store(true)
		time.Sleep(e.Duration)
		g.rejected.Store(false)
	case ResetStore:
		c.history.instant(comp)
		g.storeLink.Reset()
	case ResetCaller:
		c.history.instant(comp)
		g.callerLink.Reset()
	}
}

// stopVM stops a VM with SIGTERM and starts it again.
func (c *cluster) stopVM(g *gateway) {
	c.mu.Lock()
	if _, stopping := c.stops[g]; stopping {
		c.mu.Unlock()
		return
	}
	end, at := c.history.beginAt(component(g.name))
	c.stops[g] = at
	c.mu.Unlock()
	defer end()
	if !g.signal(syscall.SIGTERM) {
		return
	}
	if !g.wait(gracePeriod) && !g.wait(gracePeriod*c.check.slack) {
		c.check.report(ProcessExit, "%s still runs %v after SIGTERM", g.name, time.Since(at))
		g.signal(syscall.SIGKILL)
		g.wait(gracePeriod)
	}
	c.restartVM(g)
}

func (c *cluster) restartVM(g *gateway) {
	c.mu.Lock()
	delete(c.stops, g)
	c.mu.Unlock()
	if err := c.startVM(g); err != nil {
		c.check.report(ProcessExit, "%v", err)
	}
}

func (c *cluster) applyStore(e Event) {
	switch e.Kind {
	case StoreDown:
		c.store.SetFaults(platform.Faults{Down: true})
	case StoreSlow:
		c.store.SetFaults(platform.Faults{Delay: storeDelay})
	case StoreLosesResponses:
		c.store.SetFaults(platform.Faults{LoseResponses: 1 + int(e.Duration/time.Second)})
	case StoreCompact:
		c.store.CompactTopics()
		return
	case StoreRestored:
		backup := c.store.Backup()
		time.Sleep(e.Duration)
		defer c.history.begin(storeComponent)()
		c.store.SetFaults(platform.Faults{Down: true})
		time.Sleep(restoreTime)
		c.store.Restore(backup, wire.ExternalTopics...)
		c.store.SetFaults(platform.Faults{})
		return
	}
	defer c.history.begin(storeComponent)()
	time.Sleep(e.Duration)
	c.store.SetFaults(platform.Faults{})
}

func (c *cluster) evacuate(e Event) {
	name := domainOf(e.Index, c.size.Domains)
	c.mu.Lock()
	c.evacuations[name]++
	c.mu.Unlock()
	c.store.Evacuate(name, true)
	c.check.setEvacuated(name, true)
	time.Sleep(evacuateBound + e.Duration)
	c.mu.Lock()
	c.evacuations[name]--
	last := c.evacuations[name] == 0
	c.mu.Unlock()
	if last {
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

func (c *checker) setDraining(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining[target] = time.Now()
}

func (c *cluster) applyTarget(e Event, b *backend) {
	b.mu.Lock()
	server := b.server
	announces := e.Kind == LeavingTarget || e.Kind == PausingTarget || e.Kind == LimitedTarget
	if b.replacing || announces && b.announcing == server {
		b.mu.Unlock()
		return // the target is being replaced, or makes another announcement
	}
	if announces {
		b.announcing = server
	}
	replaced := e.Kind == KillTarget || e.Kind == RestartTarget || e.Kind == DrainTarget || e.Kind == LeavingTarget
	b.replacing = replaced
	b.generation++
	next := fmt.Sprintf("t%d.%d", e.Index, b.generation)
	b.mu.Unlock()
	comp := component(server.ID)
	switch e.Kind {
	case KillTarget, RestartTarget:
		end := c.history.begin(comp)
		b.link.StopListening()
		server.Stop()
		time.Sleep(restartDelay)
		if e.Kind == RestartTarget {
			next = server.ID
		} else {
			time.AfterFunc(removalDelay, server.Remove)
		}
		end()
		c.replace(b, next)
	case DrainTarget, LeavingTarget:
		if e.Kind == LeavingTarget {
			c.announceLeaving(e, server)
		} else {
			server.Register("draining")
			c.check.setDraining(server.ID)
			time.Sleep(drainBound + e.Duration)
		}
		b.link.StopListening()
		server.Stop()
		server.Remove()
		c.replace(b, next)
	case CutTarget:
		defer c.history.begin(comp)()
		b.link.SetCut(e.Cut)
		time.Sleep(e.Duration)
		b.link.SetCut(CutNone)
	case DelayTarget:
		defer c.history.begin(comp)()
		b.link.SetDelay(linkDelay)
		time.Sleep(e.Duration)
		b.link.SetDelay(0)
	case ResetTarget:
		c.history.instant(comp)
		b.link.Reset()
	case FaultyTarget:
		c.injectFaults(server, e, target.Faults{ServiceTime: serviceTime, Drop: 0.1, Cut: 0.1, DropOrders: 0.3})
	case PausingTarget:
		server.Announce(wire.Announcement{Pause: announcedPause})
		time.Sleep(e.Duration)
		c.endAnnouncement(b, server)
	case LimitedTarget:
		c.announceLimit(e, server)
		c.endAnnouncement(b, server)
	case SlowTarget:
		c.injectFaults(server, e, target.Faults{ServiceTime: slowTime})
	}
}

func (c *cluster) injectFaults(server *wire.Server, e Event, f target.Faults) {
	defer c.history.begin(component(server.ID))()
	server.SetFaults(f)
	time.Sleep(e.Duration)
	server.SetFaults(target.Faults{ServiceTime: serviceTime})
}

func (c *cluster) replace(b *backend, id string) {
	if err := c.startTarget(b, id, coldTime); err != nil {
		c.check.report(ProcessExit, "%v", err)
	}
}
