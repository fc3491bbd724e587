package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// A service like the reservation ledger of a small deployment: 6 targets, 180
	// requests a second that take 80 ms each.
	deskTargets  = 6
	deskRate     = 180
	deskWork     = 80 * time.Millisecond
	deskDeadline = 1200 * time.Millisecond

	// cutTime is how long a target is partitioned from the store.
	cutTime = 8 * time.Second

	// pause is what the target asks for, and pauseSlack the time after the answer in
	// which requests may still reach it.
	pause      = 25 * time.Second
	pauseSlack = 500 * time.Millisecond
	maxPaused  = 2
	// overloadTime is how long the target turns requests away.
	overloadTime = 800 * time.Millisecond
	afterReturn  = 6 * time.Second
)

// watcher records what reaches the targets.
type watcher struct {
	w *world

	mu sync.Mutex
	// sentTo maps the id of a request to the VM that it was sent to.
	sentTo map[string]string
	// turnedAway holds when the target last turned away a request of a VM, and asked
	// for a pause.
	turnedAway map[string]time.Time
	arrivals   []arrival
}

func newWatcher(w *world) *watcher {
	return &watcher{w: w, sentTo: make(map[string]string), turnedAway: make(map[string]time.Time)}
}

// watched is the id of the target that makes announcements.
const watched = "desk-0"

// RunStarted implements wire.Observer.
func (o *watcher) RunStarted(s *wire.Server, r wire.Run) { o.arrived(s, r.ID) }

func (o *watcher) arrived(s *wire.Server, id string) {
	if s.ID != watched {
		o.w.note("%s runs %s", s.ID, id)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a := arrival{at: time.Now(), vm: o.sentTo[id], id: id}
	o.arrivals = append(o.arrivals, a)
	o.w.note("%s gets %s from %s", s.ID, id, a.vm)
}

// TurnedAway implements wire.Observer.
func (o *watcher) TurnedAway(s *wire.Server, id string, pause time.Duration) {
	o.arrived(s, id)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turnedAway[o.sentTo[id]] = time.Now()
	o.w.note("%s answers %s of %s with 503, Retry-After %v", s.ID, id, o.sentTo[id], pause.Seconds())
}

// Granted implements wire.Observer.
func (o *watcher) Granted(*wire.Server, int, int, int64) {}

// traffic sends requests to all VMs until the returned function is called.
func (o *watcher) traffic() (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i, v := range o.w.vms {
		running.Go(func() {
			client := newCaller(true)
			random := rand.New(rand.NewPCG(uint64(i), 1))
			for n := 0; ; n++ {
				running.Go(func() {
					id := fmt.Sprintf("%s-%d", v.name, n)
					o.mu.Lock()
					o.sentTo[id] = v.name
					o.mu.Unlock()
					o.w.note("request %s is sent", id)
					a := send(client, v, "/book/"+id, id, deskDeadline)
					o.w.note("request %s: %s", id, a)
				})
				gap := time.Duration(random.ExpFloat64() * float64(time.Second) * float64(len(o.w.vms)) / deskRate)
				select {
				case <-done:
					return
				case <-time.After(gap):
				}
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// cutFromStore partitions a target from the store while requests still reach it. Its
// registration ends and is written again when the cut heals.
func (o *watcher) cutFromStore(t *wire.Server) {
	if !o.w.trouble {
		time.Sleep(cutTime)
		return
	}
	o.w.note("%s is partitioned from the store", t.ID)
	time.Sleep(expiryTime)
	t.Remove()
	o.w.note("the registration of %s has ended", t.ID)
	time.Sleep(cutTime - expiryTime)
	t.Register("ready")
	o.w.note("the cut has healed, and %s has registered again", t.ID)
}

// forgottenPause checks that a target gets no requests from a VM that it has asked for
// a pause.
func forgottenPause(w *world) (string, error) {
	o := newWatcher(w)
	if err := w.startDesk(wire.Route{Name: "book", Prefix: "/book/", Unsafe: true}, deskTargets, deskWork, deskDeadline, o); err != nil {
		return "", err
	}
	t := w.targets[0]
	stop := o.traffic()
	time.Sleep(3 * time.Second)
	t.Announce(wire.Announcement{Pause: pause})
	time.Sleep(overloadTime)
	t.Announce(wire.Announcement{})
	w.note("%s takes requests again", t.ID)
	time.Sleep(time.Second)
	o.cutFromStore(t)
	time.Sleep(afterReturn)
	stop()
	if len(o.turnedAway) == 0 {
		return "", fmt.Errorf("scene2: %s got no request to turn away", t.ID)
	}
	most, worst := 0, ""
	for name, at := range o.turnedAway {
		n := 0
		for _, a := range o.arrivals {
			if since := a.at.Sub(at); a.vm == name && since > pauseSlack && since < pause {
				n++
			}
		}
		w.note("%d requests reached %s from %s between %v and %v after its answer 503 with Retry-After", n, t.ID, name, pauseSlack, pause)
		if n >= most {
			most, worst = n, name
		}
	}
	if most > maxPaused {
		return fmt.Sprintf("%d requests reached %s from %s, which it had asked to send none for %v", most, t.ID, worst, pause), nil
	}
	return "", nil
}
