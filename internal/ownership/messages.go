package ownership

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

// Message is an input of the assigner or the keeper.
type Message interface{ message() }

// LedgerChanged brings the newest view of the ledger and the time as of which
// it is the newest.
type LedgerChanged struct {
	View *View
	AsOf core.Instant
	// LeadRenewed is set if the assigner wrote since the last message.
	LeadRenewed bool
}

// TargetsChanged brings the registered targets.
type TargetsChanged struct{ View *discovery.View }

// ServicesChanged brings the services of a new configuration.
type ServicesChanged struct {
	Services map[core.Service]routing.Service
}

// MembersChanged brings the VMs of the deployment.
type MembersChanged struct{ View *roster.View }

// Load is what one VM measured over the last interval.
type Load struct {
	VM core.VM
	// Units holds the requests a second by unit.
	Units map[core.Service]map[int]float64
	// ServiceTime is the mean time of a request at a target without queueing.
	ServiceTime map[core.Target]time.Duration
	// Unreachable are targets that the VM can't connect to at present.
	Unreachable []core.Target
}

// Unreachable says that requests fail to connect to a target's process.
type Unreachable struct{ Target core.Target }

// Appended is the result of an Append. Err is nil, replica.ErrConflict or
// another error, after which the append may still take effect. Without an error
// the stream ended at Next.
type Appended struct {
	Next int64
	Err  error
}

// ReleaseOutcome says what became of a release.
type ReleaseOutcome uint8

const (
	// ReleaseConfirmed: the target refuses older tokens from now on.
	ReleaseConfirmed ReleaseOutcome = iota
	// ReleaseEnded: another process answers at the address, so the one that
	// held the keys has ended.
	ReleaseEnded
	// ReleaseUnknown: no answer, which proves nothing.
	ReleaseUnknown
)

// Released is the result of a Release.
type Released struct {
	Task     TaskID
	Outcome  ReleaseOutcome
	Handover string
}

// Granted is the result of a Grant.
type Granted struct {
	Task TaskID
	OK   bool
}

// Settled is one VM's answer to a Settle.
type Settled struct {
	Holder Holder
	Offset int64
	VM     core.VM
	// Applied is set if the VM renews nothing under older records.
	Applied bool
	// Remaining is how long a grant that it renewed may still last.
	Remaining time.Duration
}

// Tick advances time.
type Tick struct{}

func (LedgerChanged) message()   {}
func (TargetsChanged) message()  {}
func (ServicesChanged) message() {}
func (MembersChanged) message()  {}
func (Load) message()            {}
func (Unreachable) message()     {}
func (Appended) message()        {}
func (Released) message()        {}
func (Granted) message()         {}
func (Settled) message()         {}
func (Tick) message()            {}

// Output is what the assigner or the keeper wants done.
type Output interface{ output() }

// TaskID identifies a move of a row of units.
type TaskID struct {
	Service core.Service
	From    int
	Fence   int64
}

// Append writes records if the stream ends at At.
type Append struct {
	At      int64
	Records []replica.Record
}

// Release takes units from a holder. Older tokens are refused afterwards.
type Release struct {
	Task     TaskID
	Holder   Holder
	From, To int
	Fence    int64
}

// Grant gives units to a holder for the time Hold, unless it turns out to have
// been restarted.
type Grant struct {
	Task     TaskID
	Holder   Holder
	From, To int
	Fence    int64
	Handover string
}

// Settle asks members until when a target may hold a grant.
type Settle struct {
	Holder  Holder
	Offset  int64
	Members []roster.Member
}

// Event is a change of what the assigner or the keeper believes, for the log.
type Event struct {
	Text   string
	Fields []any
}

func (Append) output()  {}
func (Release) output() {}
func (Grant) output()   {}
func (Settle) output()  {}
func (Event) output()   {}
