package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/wire"
)

// contact is the time in which VMs that reach each other know what one of them has
// seen (contact of the users' bounds).
const contact = 3 * time.Second

// Guards against a request that crashes server after server, although VMs have
// seen that servers end under it (macky-brana deadly).
func TestCrashingRequestReachesFewServers(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	const crashing = "/read/crash"
	server := func(i int) *wire.Server {
		return d.server(wire.ServerOptions{ID: fmt.Sprint("fragile", i), Service: "desk", Zone: fmt.Sprint("z", i%2), Slots: 8, Crashes: func(uri string) bool { return uri == crashing }})
	}
	fragile := []*wire.Server{server(0), server(1), server(2)}
	for _, s := range d.servers[:6] {
		if s.Service == "desk" {
			s.Remove()
			s.Stop()
		}
	}
	crashed := 0
	var senders sync.WaitGroup
	for end := time.Now().Add(4 * contact); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, v := range d.vms {
			senders.Add(1)
			go func() {
				defer senders.Done()
				r, err := d.sendBody(v, "GET", crashing, 0, d.newID(), "")
				if err == nil {
					d.checkResponse(r)
				}
			}()
		}
		senders.Wait()
		for i, s := range fragile {
			if s.Stopped() {
				s.Remove()
				crashed++
				fragile[i] = server(len(fragile) + crashed)
			}
		}
	}
	var runs []time.Time
	for _, s := range d.servers {
		for _, r := range s.Runs() {
			if r.URI == crashing {
				runs = append(runs, r.At)
			}
		}
	}
	t.Logf("%d servers ended, the request was run %d times", crashed, len(runs))
	is.True(crashed > 0)
	late := 0
	if len(runs) > 3 {
		for _, at := range runs {
			if at.Sub(runs[2]) > contact {
				late++
			}
		}
	}
	if late > 3 {
		t.Errorf("the request reached servers %d times later than %v after the third crash", late, contact)
	}
	d.waitUntilServed("/read/other", 0)
}
