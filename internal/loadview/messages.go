package loadview

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

// Process identifies a process of a target. StartedAt is in Unix milliseconds.
type Process struct {
	Target    core.Target
	StartedAt int64
}

// Load is the load that a target reported in a response.
type Load struct {
	Running, Waiting int
	// Slowdown is the ratio of the present processing time to the usual one, or 0 if
	// it is unknown.
	Slowdown float64
	// Age is the time since the target reported it.
	Age time.Duration
}

// Observation is what one VM observed of a target since its last report.
type Observation struct {
	Process
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Demand counts the requests wanted for the target, sent or not, Sent those that
	// were sent and TurnedAway those that the target did not run.
	Demand, Sent, TurnedAway int
	// Samples counts the new samples of the service time, whose mean is ServiceTime.
	Samples     int
	ServiceTime time.Duration
	// Limit is the number of requests per second that the target announced as its
	// limit over all VMs, or 0.
	Limit float64
	// Load is a load report that is new since the last report, or nil.
	Load *Load
}

// Entry is the aggregate over all VMs for a target.
type Entry struct {
	Process
	// ServiceTime is the mean time of a request without queueing, or 0 if it is
	// unknown.
	ServiceTime time.Duration
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Load is the newest load report of the target, or nil.
	Load *Load
	// Demand and TurnedAway are requests per second over all VMs.
	Demand, TurnedAway float64
	// Admit is the number of requests per second that the receiving VM may send to
	// the target, or 0 if it is not restricted.
	Admit float64
	// Removed is set if the leader no longer has an entry for the target.
	Removed bool
}

// Digest holds the entries that changed since an earlier digest.
type Digest struct {
	// Leader is the process that made the digest.
	Leader ownership.Leader
	// Sequence grows with every change of an entry.
	Sequence uint64
	// Full is set if the digest holds all entries, not only those that changed.
	Full bool
	// Admitting is the number of targets under admission.
	Admitting int
	Entries   []Entry
}

// Message is an input of the Aggregator.
type Message interface{ message() }

// Report is what one VM observed since its last report.
type Report struct {
	VM core.VM
	// Incarnation identifies the process of the VM; a later one has a greater value.
	Incarnation int64
	// Leader and Have identify the last digest that the VM received. Have is 0 if
	// the VM has none.
	Leader ownership.Leader
	Have   uint64
	// Interval is the time that the counts cover.
	Interval     time.Duration
	Observations []Observation
	// Reply receives the digest. It must be buffered.
	Reply chan<- Digest
}

// LeaderChanged carries the leader according to the ledger.
type LeaderChanged struct{ Leader ownership.Leader }

// Tick advances time.
type Tick struct{}

func (Report) message()        {}
func (LeaderChanged) message() {}
func (Tick) message()          {}

// Output is an action that the Aggregator requests.
type Output interface{ output() }

// SendReply is the reply to a Report.
type SendReply struct {
	To     chan<- Digest
	Digest Digest
}

// Event is a state change to be logged.
type Event struct {
	Text   string
	Fields []any
}

func (SendReply) output() {}
func (Event) output()     {}
