package ownership

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

// Message is an input of the Assigner or the Renewer.
type Message interface{ message() }

// LedgerChanged carries the latest view of the ledger and the time at which
// View.StreamEnd was the end of the stream.
type LedgerChanged struct {
	View *View
	AsOf core.Instant
	// LeaderWrote is set if the leader has appended since the last message.
	LeaderWrote bool
}

// TargetsChanged carries the registered targets.
type TargetsChanged struct{ View *discovery.View }

// ServicesChanged carries the services of a new configuration.
type ServicesChanged struct {
	Services map[core.Service]routing.Service
}

// MembersChanged carries the VMs of the deployment.
type MembersChanged struct{ View *roster.View }

// LoadReport is what one VM measured over the last interval.
type LoadReport struct {
	VM core.VM
	// UnitLoads holds the requests per second of each unit.
	UnitLoads map[core.Service]map[int]float64
	// ServiceTime is the mean time that a target takes for a request, without
	// queueing.
	ServiceTime map[core.Target]time.Duration
	// Unreachable lists the targets that the VM currently cannot connect to.
	Unreachable []core.Target
	// Partial is set if the report holds only Unreachable and the rest of the VM's last
	// report stays valid.
	Partial bool
}

// Unreachable reports that connections to a target's process fail.
type Unreachable struct{ Target core.Target }

// Appended is the result of an Append. After an error other than
// replica.ErrConflict the append may still take effect. Without an error the
// stream ends at Next.
type Appended struct {
	Next int64
	Err  error
}

// ReleaseOutcome is the outcome of a Release.
type ReleaseOutcome uint8

const (
	// ReleaseConfirmed: the target now rejects older tokens.
	ReleaseConfirmed ReleaseOutcome = iota
	// ReleaseHolderExited: another process responds at the address, so the one
	// that held the keys has exited.
	ReleaseHolderExited
	// ReleaseUnknown: no response, so the target may still hold the keys.
	ReleaseUnknown
)

func (o ReleaseOutcome) String() string {
	return [...]string{"confirmed", "holder exited", "unknown"}[o]
}

// Released is the result of a Release.
type Released struct {
	Move     MoveID
	Outcome  ReleaseOutcome
	Handover string
}

// Granted is the result of a Grant.
type Granted struct {
	Move MoveID
	OK   bool
}

// GrantExpiry is one VM's reply to a QueryGrantExpiry.
type GrantExpiry struct {
	Eviction Eviction
	VM       core.VM
	// Applied is set if the VM has applied the ledger up to the offset, so that it no
	// longer renews grants of older records.
	Applied bool
	// Remaining is how long a grant that the VM renewed may still last.
	Remaining time.Duration
}

// Tick advances time.
type Tick struct{}

func (LedgerChanged) message()   {}
func (TargetsChanged) message()  {}
func (ServicesChanged) message() {}
func (MembersChanged) message()  {}
func (LoadReport) message()      {}
func (Unreachable) message()     {}
func (Appended) message()        {}
func (Released) message()        {}
func (Granted) message()         {}
func (GrantExpiry) message()     {}
func (Tick) message()            {}

// Output is an action that the Assigner or the Renewer requests.
type Output interface{ output() }

// MoveID identifies a move of a range of units.
type MoveID struct {
	Service core.Service
	From    int
	Token   int64
}

// Append writes records to the owners stream if it ends at At.
type Append struct {
	At      int64
	Records []replica.Record
}

// Release takes units from a holder, which rejects older tokens afterwards.
type Release struct {
	Move     MoveID
	Holder   Holder
	From, To int
	Token    int64
}

// Grant grants units to a holder, unless a check shows that the target was
// restarted.
type Grant struct {
	Move     MoveID
	Holder   Holder
	From, To int
	Token    int64
	Duration time.Duration
	Handover string
}

// Eviction identifies the wait for the grants of a holder, or of all targets without
// one. Offset is the end of the ledger when the wait began.
type Eviction struct {
	Holder Holder
	Offset int64
}

// QueryGrantExpiry asks members until when the holders may hold a grant that the
// members renewed by records before the offsets.
type QueryGrantExpiry struct {
	Evictions []Eviction
	Members   []roster.Member
}

// Event is a state change to be logged.
type Event struct {
	Text   string
	Fields []any
}

func (Append) output()           {}
func (Release) output()          {}
func (Grant) output()            {}
func (QueryGrantExpiry) output() {}
func (Event) output()            {}
