package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// crashPrefix is the prefix of the paths, without the route's own, of requests
	// that end each target that begins to run them.
	crashPrefix = "crash-"
	// crashInterval is the time between two of the same such request.
	crashInterval = 100 * time.Millisecond
	// A request that has ended crashesKnown targets reaches at most crashRetries
	// more, contactBound later, through VMs in touch.
	crashesKnown, crashRetries = 3, 3
)

func isCrashing(uri string) bool {
	return strings.HasPrefix(uri, "/read/"+crashPrefix) || strings.HasPrefix(uri, "/book/"+crashPrefix)
}

// crashes is what a request has done to targets.
type crashes struct {
	// ended receives the targets that the request has ended.
	ended chan *wire.Server
	count int
	// knownAt is when it ended the last of the first crashesKnown targets.
	knownAt time.Time
	// late counts the targets that it reached against the bound.
	late int
}

// crashRequest lets callers send a request that ends targets through all VMs, again
// and again, and starts the targets again.
func (c *cluster) crashRequest(e Event) {
	template := request{method: http.MethodGet, uri: fmt.Sprintf("/read/%s%d", crashPrefix, e.At), idempotent: true}
	if e.Cut == CutBoth {
		template = request{method: http.MethodPost, uri: fmt.Sprintf("/book/%s%d", crashPrefix, e.At), body: "x"}
	}
	ended := c.check.expectCrashes(template.uri)
	done := make(chan struct{})
	var restarts sync.WaitGroup
	restarts.Go(func() {
		for {
			select {
			case s := <-ended:
				restarts.Go(func() { c.restartCrashed(s) })
			case <-done:
				return
			}
		}
	})
	random := rand.New(rand.NewPCG(uint64(e.At), 0))
	var senders sync.WaitGroup
	for i, end := 0, time.Now().Add(contactBound+e.Duration); time.Now().Before(end); i++ {
		r := template
		r.id, r.vm = fmt.Sprintf("%s%d-%d", crashPrefix, e.At, i), c.vms[random.IntN(len(c.vms))]
		key := rand.New(rand.NewPCG(uint64(e.At), uint64(i)))
		senders.Go(func() {
			caller := &caller{vm: r.vm, check: c.check, random: key, stopOf: c.stopOf}
			defer caller.closeConn()
			if caller.dial() {
				r.process, _ = c.stopOf(r.vm)
				caller.send(&r)
			}
		})
		time.Sleep(crashInterval)
	}
	senders.Wait()
	close(done)
	restarts.Wait()
}

// restartCrashed starts a target again under its id, unless another event replaces
// it.
func (c *cluster) restartCrashed(s *wire.Server) {
	for _, b := range c.backends {
		b.mu.Lock()
		crashed := b.server == s && !b.replacing
		b.replacing = b.replacing || crashed
		b.mu.Unlock()
		if !crashed {
			continue
		}
		end := c.history.begin(component(s.ID))
		b.link.StopListening()
		time.Sleep(restartDelay)
		end()
		c.replace(b, s.ID)
	}
}

func (c *checker) expectCrashes(uri string) <-chan *wire.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	const most = 256 // more than a run of an event can end
	c.crashes[uri] = &crashes{ended: make(chan *wire.Server, most)}
	return c.crashes[uri].ended
}

// checkCrash counts a target that begins to run a request which ends it. It must be
// called with the lock held.
func (c *checker) checkCrash(s *wire.Server, r *request, now time.Time) {
	x := c.crashes[r.uri]
	if x == nil {
		return
	}
	c.counts["crashes"]++
	select {
	case x.ended <- s:
	default:
	}
	if x.count++; x.count == crashesKnown {
		x.knownAt = now
	}
	if x.count <= crashesKnown || now.Sub(x.knownAt) <= contactBound*c.slack ||
		!c.history.undisturbed(x.knownAt, now, component(r.vm.name), storeComponent) {
		return
	}
	if x.late++; x.late > crashRetries {
		c.violate(CrashRetries, "%s reached target %s through %s, the %dth %v after it had ended %d", r.uri, s.ID, r.vm.name, x.late, now.Sub(x.knownAt), crashesKnown)
	}
}
