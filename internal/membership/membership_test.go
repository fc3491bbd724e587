package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

// TestReplacedVMsAreRemoved guards against heartbeats to an ever growing number
// of VMs that were replaced under new ids, and against removal of a VM that is
// unresponsive but still listed.
func TestReplacedVMsAreRemoved(t *testing.T) {
	is := is.New(t)
	m := New(Info{VM: "a", FailureDomain: "d"}, nil)
	m.Step(0, VMsListed{VMs: []Info{{VM: "old", FailureDomain: "d"}, {VM: "silent", FailureDomain: "d"}}})
	var view View
	for now := time.Second; now < removeAfter+2*time.Second; now += time.Second {
		for _, o := range m.Step(core.Instant(now), VMsListed{VMs: []Info{{VM: "silent", FailureDomain: "d"}}}) {
			if changed, ok := o.(Changed); ok {
				view = changed.View
			}
		}
	}
	_, old := view.Members["old"]
	_, listed := view.Members["silent"]
	is.True(!old)
	is.True(listed)
}

// TestLiveness guards the heartbeat time-out: a VM counts as live until 700 ms
// after its last heartbeat. It also guards against a restart that goes unnoticed.
func TestLiveness(t *testing.T) {
	is := is.New(t)
	m := New(Info{VM: "a", FailureDomain: "d"}, nil)
	live := func(at time.Duration, msg Message) (bool, bool) {
		for _, o := range m.Step(core.Instant(at), msg) {
			if changed, ok := o.(Changed); ok {
				return changed.View.Members["b"].Live, true
			}
		}
		return false, false
	}
	up, changed := live(0, HeartbeatReceived{Info: Info{VM: "b", FailureDomain: "d", Incarnation: 1}})
	is.True(up && changed)
	_, changed = live(700*time.Millisecond, Tick{})
	is.True(!changed)
	up, changed = live(701*time.Millisecond, Tick{})
	is.True(!up && changed)
	up, changed = live(800*time.Millisecond, HeartbeatReceived{Info: Info{VM: "b", FailureDomain: "d", Incarnation: 2}})
	is.True(up && changed)
}
