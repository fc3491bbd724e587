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

// RecordsLost reports that the store has lost its newest records, perhaps this
// VM's one among them.
type RecordsLost struct{}

func (RecordRead) message()    {}
func (RecordDeleted) message() {}
func (Tick) message()          {}
func (WriteFailed) message()   {}
func (RecordsLost) message()   {}

// writeRetryDelay is the delay before a failed write is retried.
const writeRetryDelay = 500 * time.Millisecond

const (
	// rewriteInterval is the time between the writes of two VMs after the store has
	// lost records, so that not all of them write at once. maxRewriteDelay bounds the
	// delay of the last one: records are kept for 3 s.
	rewriteInterval = 10 * time.Millisecond
	maxRewriteDelay = 2 * time.Second
)

// rewriteKey ranks the VMs for writing their records again.
const rewriteKey = "rewrite"

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
	// view is the last one that was published, or nil.
	view *View
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
	case RecordsLost:
		delay := time.Duration(0)
		if d.view != nil {
			delay = min(time.Duration(d.view.Rank(rewriteKey, ""))*rewriteInterval, maxRewriteDelay)
		}
		d.lastWrite = now.Add(delay - RenewInterval)
	}
	var out []Output
	if d.lastWrite == 0 || now.Sub(d.lastWrite) >= RenewInterval {
		d.lastWrite = now
		out = append(out, WriteRecord{Member: d.self})
	}
	// Changes are published only on Tick, so that the many records of a full read
	// make one view.
	if _, tick := m.(Tick); tick && d.roster.Changed() {
		d.view = d.roster.View()
		out = append(out, ViewUpdated{View: d.view})
	}
	return out
}
