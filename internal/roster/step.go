package roster

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Message is an input of the roster duty.
type Message interface{ message() }

// RecordRead carries a member's record that was read from the store.
type RecordRead struct{ Member Member }

// RecordDeleted reports that a member's record was deleted.
type RecordDeleted struct{ VM core.VM }

// Tick publishes a new view if there are changes. Fresh is set if the members
// were read recently; only then do records expire.
type Tick struct{ Fresh bool }

// WriteFailed reports that this VM's record could not be written.
type WriteFailed struct{}

func (RecordRead) message()    {}
func (RecordDeleted) message() {}
func (Tick) message()          {}
func (WriteFailed) message()   {}

// writeRetryDelay is the delay before a failed write is retried.
const writeRetryDelay = 500 * time.Millisecond

// Output is an action that the duty requests.
type Output interface{ output() }

// ViewUpdated carries a new view.
type ViewUpdated struct{ View *View }

// WriteRecord requests a write of this VM's record.
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
	// Changes are published only on Tick, so that the many records of a full read
	// make one view.
	if _, tick := m.(Tick); tick && d.roster.Changed() {
		out = append(out, ViewUpdated{View: d.roster.View()})
	}
	return out
}
