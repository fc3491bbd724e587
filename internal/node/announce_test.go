package node_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/wire"
)

// drain is the time in which a VM stops sending to a server that leaves (drain of
// the users' bounds).
const drain = 2 * time.Second

// sendFor sends requests for the keyless service through some VMs for a time.
func (d *deployment) sendFor(length time.Duration, vms ...*vm) {
	var senders sync.WaitGroup
	for _, v := range vms {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if r, err := d.send(v, "GET", "/read/1", 0); err == nil {
					d.checkResponse(r)
				}
			}
		}()
	}
	senders.Wait()
}

// Guards against new requests to a server that has announced in its responses that
// it leaves, while the VMs can't learn so from the store, whose records still call it ready.
func TestServerThatAnnouncesLeavingGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	leaving, v := d.servers[0], d.vms[0] // only one VM sends, and learns of it
	d.waitUntil("the server gets requests", func() bool {
		d.sendFor(100*time.Millisecond, v)
		return len(leaving.Runs()) > 0
	})
	d.store.SetFaults(standin.Faults{Down: true})
	leaving.Announce(wire.Announcement{Leaving: true})
	atAnnouncement := len(leaving.Runs())
	d.waitUntil("the VM gets a response of it", func() bool {
		d.sendFor(50*time.Millisecond, v)
		return len(leaving.Runs()) > atAnnouncement
	})
	d.sendFor(drain, v)
	before := len(leaving.Runs())
	d.sendFor(time.Second, v)
	is.Equal(len(leaving.Runs()), before)
	leaving.Register("ready") // an older record than the announcement
	d.store.SetFaults(standin.Faults{})
	time.Sleep(time.Second)
	d.sendFor(time.Second, v)
	is.Equal(len(leaving.Runs()), before)
}

// Guards against a server that wants no requests for a time and gets more than two
// from a VM from half a second on, while others take them or none does.
func TestServerThatWantsNoRequestsGetsFew(t *testing.T) {
	const pause, tolerance = 3 * time.Second, 500 * time.Millisecond
	for name, paused := range map[string]int{"one server": 1, "all servers": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t)
			var servers []*wire.Server
			for _, s := range d.servers {
				if s.Service == "desk" && len(servers) < paused {
					s.Announce(wire.Announcement{Pause: pause})
					servers = append(servers, s)
				}
			}
			d.sendFor(pause-200*time.Millisecond, slices.Repeat(d.vms, 8)...) // concurrent requests
			for _, s := range servers {
				turnedAway := s.TurnedAway()
				is.True(len(turnedAway) > 0)
				late := 0
				for _, at := range turnedAway {
					if at.Sub(turnedAway[0]) > tolerance {
						late++
					}
				}
				if most := 2 * len(d.vms); late > most {
					t.Errorf("%s: %d requests later than %v after the server first wanted none, %d are allowed", s.ID, late, tolerance, most)
				}
				s.Announce(wire.Announcement{})
			}
			d.waitUntil("the servers get requests after the pause", func() bool {
				d.sendFor(100*time.Millisecond, d.vms...)
				return !slices.ContainsFunc(servers, func(s *wire.Server) bool { return len(s.Runs()) == 0 })
			})
		})
	}
}
