package roster

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Message is an input of the roster duty.
type Message interface{ message() }

// Seen brings a member's record.
type Seen struct{ Member Member }

// Left tells that a member's record was deleted.
type Left struct{ VM core.VM }

// Tick advances time. Fresh is set if the members were read lately.
type Tick struct{ Fresh bool }

// Failed tells that this VM's record could not be written.
type Failed struct{}

func (Seen) message()   {}
func (Left) message()   {}
func (Tick) message()   {}
func (Failed) message() {}

// retryWrite is the pause before a failed write is repeated.
const retryWrite = 500 * time.Millisecond

// Output is what the duty wants done.
type Output interface{ output() }

// Updated brings a new view.
type Updated struct{ View *View }

// Write asks for this VM's record to be written.
type Write struct{ Member Member }

func (Updated) output() {}
func (Write) output()   {}

// Duty is the state machine of the roster.
type Duty struct {
	self    Member
	roster  *Roster
	written core.Instant
}

// NewDuty returns a duty that knows only this VM.
func NewDuty(self Member) *Duty { return &Duty{self: self, roster: New(self)} }

// Step implements duty.Step.
func (d *Duty) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Seen:
		d.roster.Renew(now, m.Member)
	case Left:
		d.roster.Remove(m.VM)
	case Tick:
		if m.Fresh {
			d.roster.Expire(now)
		}
	case Failed:
		d.written = now.Add(retryWrite - RenewInterval)
	}
	var out []Output
	if d.written == 0 || now.Sub(d.written) >= RenewInterval {
		d.written = now
		out = append(out, Write{Member: d.self})
	}
	// A copy that is read whole brings many records; they make one view.
	if _, tick := m.(Tick); tick && d.roster.Changed() {
		out = append(out, Updated{View: d.roster.View()})
	}
	return out
}
