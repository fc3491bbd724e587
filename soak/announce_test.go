package soak

import (
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// Bounds of what targets announce, from the site files of the deployments.
const (
	// leavingBound is the time from which a VM that has passed on an announcement
	// of leaving sends the target no request that a caller sends later.
	leavingBound = 2 * time.Second
	// A VM may send pausedRequests requests to a target in its pause, later than
	// pauseTolerance after it was told of it.
	pauseTolerance = 500 * time.Millisecond
	pausedRequests = 2
	// In any limitWindow a target gets at most limitFactor times what its rate limit
	// allows, and limitExtra requests, from the VMs that have passed on an
	// announcement of the limit limitTolerance before.
	limitTolerance = 500 * time.Millisecond
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitExtra     = 5
	// contactBound is the time from which a new limit, or what is known of a request
	// that ends targets, binds.
	contactBound = 3 * time.Second
)

const (
	// announcedPause and announcedLimit are what targets announce.
	announcedPause = 3 * time.Second
	announcedLimit = 12
	// alternateInterval is the time after which a leaving target drops the
	// announcement and makes it again.
	alternateInterval = 400 * time.Millisecond
)

// announcements is what targets have announced, and which VMs have learned of it.
type announcements struct {
	// leaving and limited hold when a target process began to announce, while it does.
	leaving, limited map[*wire.Server]time.Time
	// toldLeaving and toldLimit hold when a VM process first passed on an
	// announcement to a caller.
	toldLeaving, toldLimit map[toldProcess]time.Time
	pauses                 map[toldProcess]*pause
	// limitedRuns are the requests of the last limitWindow that count for the limit.
	limitedRuns map[*wire.Server][]time.Time
}

// toldProcess is a VM process and a target process that it has a response of.
type toldProcess struct {
	vm     vmProcess
	server *wire.Server
}

// pause is a time in which a target wants no requests from a VM process.
type pause struct {
	from, until time.Time
	// late counts the requests in the pause after pauseTolerance.
	late int
}

func newAnnouncements() announcements {
	return announcements{
		leaving: make(map[*wire.Server]time.Time), limited: make(map[*wire.Server]time.Time),
		toldLeaving: make(map[toldProcess]time.Time), toldLimit: make(map[toldProcess]time.Time),
		pauses: make(map[toldProcess]*pause), limitedRuns: make(map[*wire.Server][]time.Time),
	}
}

// announceLeaving lets a target announce that it leaves, while its registration
// still calls it ready.
func (c *cluster) announceLeaving(e Event, s *wire.Server) {
	alternates := e.Cut == CutBoth
	for end := time.Now().Add(leavingBound + e.Duration); time.Now().Before(end); {
		s.Announce(wire.Announcement{Leaving: true})
		c.check.beginAnnouncement(c.check.announced.leaving, s)
		time.Sleep(alternateInterval)
		if alternates {
			c.check.endAnnouncement(c.check.announced.leaving, s)
			s.Announce(wire.Announcement{})
			time.Sleep(alternateInterval)
		}
	}
}

func (c *cluster) announceLimit(e Event, s *wire.Server) {
	s.Announce(wire.Announcement{RateLimit: announcedLimit})
	c.check.beginAnnouncement(c.check.announced.limited, s)
	time.Sleep(limitWindow + e.Duration)
	c.check.endLimit(s)
}

func (c *cluster) endAnnouncement(b *backend, s *wire.Server) {
	s.Announce(wire.Announcement{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announcing = nil
}

func (c *checker) beginAnnouncement(kind map[*wire.Server]time.Time, s *wire.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind[s] = time.Now()
}

func (c *checker) endAnnouncement(kind map[*wire.Server]time.Time, s *wire.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(kind, s)
}

func (c *checker) endLimit(s *wire.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.announced.limited, s)
	delete(c.announced.limitedRuns, s)
	for told := range c.announced.toldLimit {
		if told.server == s {
			delete(c.announced.toldLimit, told)
		}
	}
}

// TurnedAway implements wire.Observer.
func (c *checker) TurnedAway(s *wire.Server, id string, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return
	}
	c.counts["turned away"]++
	now := time.Now()
	c.checkAnnounced(s, r, now)
	told := toldProcess{vm: r.vmProcess(), server: s}
	p := c.announced.pauses[told]
	if p == nil || !now.Before(p.until) {
		p = &pause{from: now}
		c.announced.pauses[told] = p
	}
	p.until = now.Add(length)
}

// passedOn records that a VM has passed on the response of a target to a request,
// which the target began to run at runAt. It must be called with the lock held.
func (c *checker) passedOn(r *request, s *wire.Server, runAt, now time.Time) {
	told := toldProcess{vm: r.vmProcess(), server: s}
	if at, ok := c.announced.leaving[s]; ok && runAt.After(at) {
		recordFirst(c.announced.toldLeaving, told, now)
	}
	if at, ok := c.announced.limited[s]; ok && runAt.After(at) {
		recordFirst(c.announced.toldLimit, told, now)
	}
}

func recordFirst(first map[toldProcess]time.Time, told toldProcess, now time.Time) {
	if _, known := first[told]; !known {
		first[told] = now
	}
}

// checkAnnounced checks a request that reaches a target against what the target
// has announced. It must be called with the lock held.
func (c *checker) checkAnnounced(s *wire.Server, r *request, now time.Time) {
	told := toldProcess{vm: r.vmProcess(), server: s}
	if at, ok := c.announced.toldLeaving[told]; ok && r.sent.Sub(at) > leavingBound*c.slack &&
		c.history.undisturbed(at, now, frozen(r.vm.name)) {
		c.violate(AnnouncedLeaving, "target %s got %s, which %s got %v after it had passed on that the target leaves", s.ID, r.id, r.vm.name, r.sent.Sub(at))
	}
	if p := c.announced.pauses[told]; p != nil && now.Before(p.until) && now.Sub(p.from) > pauseTolerance*c.slack &&
		c.history.undisturbed(p.from, now, component(r.vm.name), component(s.ID)) {
		if p.late++; p.late > pausedRequests {
			c.violate(AnnouncedPause, "target %s got %s from %s %v after it turned a request away, the %dth in the pause", s.ID, r.id, r.vm.name, now.Sub(p.from), p.late)
		}
	}
	since, limited := c.announced.limited[s]
	at, ok := c.announced.toldLimit[told]
	if !limited || !ok || now.Sub(since) < contactBound*c.slack || now.Sub(at) < limitTolerance*c.slack ||
		!c.history.undisturbed(at, now, component(r.vm.name), component(s.ID)) {
		return
	}
	runs := append(c.announced.limitedRuns[s], now)
	for now.Sub(runs[0]) >= limitWindow {
		runs = runs[1:]
	}
	c.announced.limitedRuns[s] = runs
	if most := limitFactor*limitWindow.Seconds()*announcedLimit + limitExtra; float64(len(runs)) > most {
		c.violate(AnnouncedLimit, "target %s got %d requests within %v, the limit is %.0f", s.ID, len(runs), limitWindow, most)
	}
}
