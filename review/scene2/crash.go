package main

import (
	"fmt"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/target"
	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// harmfulPath is the path of the request that crashes each target that begins to
	// run it. It comes again with another id, by harmfulCallers at the same time, two at
	// each VM.
	harmfulPath    = "/read/harmful"
	harmfulCallers = 2 * zones
	harmfulGap     = 12 * time.Second
	// backAfter is how long a target that crashed stays away. Its successor has another
	// id.
	backAfter = 2 * time.Second

	crashTargets  = 36
	crashWork     = 60 * time.Millisecond
	crashDeadline = 1200 * time.Millisecond
	// killDelay is how long after the first harmful requests all VMs are killed, and
	// downTime how long they are away.
	killDelay = 4 * time.Second
	downTime  = 1500 * time.Millisecond
	// A request that has crashed knownCrashes targets may reach others in at most
	// maxRetries more retries, contact later, through VMs in touch. An attempt of a caller
	// counts as one retry, however many targets it reaches.
	knownCrashes, maxRetries = 3, 3
)

// crashWatch restarts the targets that a request has crashed, and counts its runs.
type crashWatch struct {
	w *world

	mu sync.Mutex
	// sentTo maps the id of a harmful request to the VM that it was sent to.
	sentTo  map[string]string
	crashes []arrival
	started int
}

// RunStarted implements wire.Observer.
func (o *crashWatch) RunStarted(s *wire.Server, r wire.Run) {
	if r.URI != harmfulPath {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a := arrival{at: time.Now(), vm: o.sentTo[r.ID], id: r.ID}
	o.crashes = append(o.crashes, a)
	o.w.note("%s begins to run %s, from %s, and crashes", s.ID, r.ID, a.vm)
	go o.replace(s)
}

// TurnedAway implements wire.Observer.
func (*crashWatch) TurnedAway(*wire.Server, string, time.Duration) {}

// Granted implements wire.Observer.
func (*crashWatch) Granted(*wire.Server, int, int, int64) {}

// replace removes the registration of a target that has crashed, and starts another.
func (o *crashWatch) replace(s *wire.Server) {
	time.Sleep(backAfter)
	if err := o.start(); err != nil {
		o.w.note("target not started: %v", err)
	}
	time.Sleep(expiryTime - backAfter)
	s.Remove()
}

// start starts a target.
func (o *crashWatch) start() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started++
	t, err := o.w.addTarget(wire.ServerOptions{
		ID: fmt.Sprint(deskService, "-", o.started), Service: deskService, Slots: 6, Observer: o, Crashes: func(uri string) bool { return uri == harmfulPath },
	})
	if err == nil {
		t.SetFaults(target.Faults{ServiceTime: crashWork})
	}
	return err
}

// forgottenCrashes checks that a request that has crashed targets reaches few others,
// also after all VMs were restarted at once.
func forgottenCrashes(w *world) (string, error) {
	o := &crashWatch{w: w, sentTo: make(map[string]string)}
	if err := w.store.Configure(wire.Config{
		Version: 1, Timeout: crashDeadline,
		Routes:   []wire.Route{{Name: "read", Prefix: "/read/", Service: deskService}},
		Services: []wire.ServiceOptions{{Name: deskService, MaxConns: 110}},
	}); err != nil {
		return "", err
	}
	for range crashTargets {
		if err := o.start(); err != nil {
			return "", err
		}
	}
	if err := w.startVMs(zones); err != nil {
		return "", err
	}
	time.Sleep(contact)
	o.sendHarmful(0)
	time.Sleep(killDelay)
	startedAt := time.Time{}
	if w.trouble {
		var err error
		if startedAt, err = w.restartAll(downTime); err != nil {
			return "", err
		}
	}
	for round := 1; round <= 2; round++ {
		time.Sleep(harmfulGap)
		o.sendHarmful(round)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.crashes) < knownCrashes {
		return "", fmt.Errorf("scene2: the harmful request crashed only %d targets", len(o.crashes))
	}
	third, late, retries := o.crashes[knownCrashes-1].at, 0, make(map[string]bool)
	for _, a := range o.crashes {
		if a.at.Sub(third) > contact && a.at.Sub(startedAt) > contact {
			late++
			retries[a.id] = true
		}
	}
	w.note("the harmful request crashed %d targets, %d of them later than %v after the third through VMs in touch, in %d attempts of callers; %d attempts may be",
		len(o.crashes), late, contact, len(retries), maxRetries)
	if len(retries) > maxRetries {
		return fmt.Sprintf("a request that had crashed %d targets reached %d others in %d attempts of callers, %v later and through VMs in touch", knownCrashes, late, len(retries), contact), nil
	}
	return "", nil
}

// sendHarmful sends the harmful request to all VMs at the same time.
func (o *crashWatch) sendHarmful(round int) {
	var callers sync.WaitGroup
	for i := range harmfulCallers {
		v := o.w.vms[i%len(o.w.vms)]
		id := fmt.Sprintf("harmful-%d-%d", round, i)
		o.mu.Lock()
		o.sentTo[id] = v.name
		o.mu.Unlock()
		callers.Go(func() {
			o.w.note("%s is sent to %s", id, v.name)
			o.w.note("%s: %s", id, send(newCaller(false), v, harmfulPath, id, crashDeadline))
		})
	}
	callers.Wait()
}
