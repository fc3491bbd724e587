package roster

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Message is an input of the roster duty.
type Message interface{ message() }

// RecordRead brings a member's record.
type RecordRead struct{ Member Member }

// RecordDeleted tells that a member's record was deleted.
type RecordDeleted struct{ VM core.VM }

// Tick advances time. Fresh is set if the members were read lately.
type Tick struct{ Fresh bool }

// WriteFailed tells that this VM's record could not be written.
type WriteFailed struct{}

func (RecordRead) message()    {}
func (RecordDeleted) message() {}
func (Tick) message()          {}
func (WriteFailed) message()   {}

// writeRetryDelay is the pause before a failed write is repeated.
const writeRetryDelay = 500 * time.Millisecond

// Output is what the duty wants done.
type Output interface{ output() }

// ViewUpdated brings a new view.
type ViewUpdated struct{ View *View }

// WriteRecord asks for this VM's record to be written.
type WriteRecord struct{ Member Member }

func (ViewUpdated) output() {}
func (WriteRecord) output() {}

// Duty is the state machine of the roster.
type Duty struct {
	self      Member
	roster    *Roster
	lastWrite core.Instant
}

// NewDuty returns a duty that knows only this VM.
func NewDuty(self Member) *Duty { return &Duty{self: self, roster: New(self)} }

// Step implements duty.Step.
func (d *Duty) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case RecordRead:
		d.roster.Renew(now, m.Member)
	case RecordDeleted:
		d.roster.Remove(m.VM)
	case Tick:
		if m.Fresh {
			d.roster.Expire(now)
		}
	case WriteFailed:
		d.lastWrite = now.Add(writeRetryDelay - RenewInterval)
	}
	var out []Output
	if d.lastWrite == 0 || now.Sub(d.lastWrite) >= RenewInterval {
		d.lastWrite = now
		out = append(out, WriteRecord{Member: d.self})
	}
	// A copy that is read whole brings many records; they make one view.
	if _, tick := m.(Tick); tick && d.roster.Changed() {
		out = append(out, ViewUpdated{View: d.roster.View()})
	}
	return out
}
