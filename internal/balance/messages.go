package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

// Message is an input of the balancer.
type Message interface{ message() }

// Ask asks for a target for one attempt. Reply has room for one decision.
type Ask struct {
	Service core.Service
	// Key is set for services that are divided by key.
	Key uint16
	// Priority is the route's; 0 is the most urgent.
	Priority int
	// Until is when the answer must be there.
	Until core.Instant
	// Tried are the targets of earlier attempts.
	Tried []core.Target
	// Kind says why the attempt is made.
	Kind AttemptKind
	// Counted is set if the request was counted by an earlier Ask.
	Counted bool
	Reply   chan<- Decision
}

// AttemptKind says why an attempt is made.
type AttemptKind uint8

const (
	// First is the first attempt, or one that follows attempts of which nothing
	// was sent.
	First AttemptKind = iota
	// Retry follows an attempt that failed.
	Retry
	// Hedge runs beside an attempt that is late.
	Hedge
)

// Verdict is the kind of a decision.
type Verdict uint8

const (
	// Send: send to the target.
	Send Verdict = iota
	// Wait: the key has no owner now; ask again shortly.
	Wait
	// Refuse: don't send.
	Refuse
)

// Decision is the answer to an Ask.
type Decision struct {
	Verdict Verdict
	// Target is where to send. Without a Send, only its ID is set, if a target
	// was the reason.
	Target Target
	// Reason names what decided, for logs and counters.
	Reason string
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Expected is how long the answer is expected to take.
	Expected time.Duration
	// Occupancy is the estimated number of requests at the target.
	Occupancy float64
	// LoadAge is the age of the target's last report, negative if there is none.
	LoadAge time.Duration
}

// Target is where an attempt goes.
type Target struct {
	ID      core.Target
	Address string
	// MaxConnections bounds this VM's connections to the target.
	MaxConnections int
}

// Result says how an attempt ended.
type Result uint8

const (
	// Answered: a whole answer that isn't the target's own failure.
	Answered Result = iota
	// Failed: the target answered with a failure of its own, or spoiled the
	// answer.
	Failed
	// Shed: the target said that it did not run the request.
	Shed
	// NoConnection: no connection could be made.
	NoConnection
	// Broken: the connection was reset or closed without an answer.
	Broken
	// Late: no answer before the attempt's time was over.
	Late
	// Cancelled: the caller left or another attempt won. It says nothing about
	// the target.
	Cancelled
	// OtherProcess: another process answers at the target's address.
	OtherProcess
	// NotOwner: the target doesn't hold the key.
	NotOwner
)

func (r Result) String() string {
	return [...]string{"answered", "failed", "shed", "no-connection", "broken", "late", "cancelled", "other-process", "not-owner"}[r]
}

// LoadReport is what a target says of its load with an answer.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes relative to usual; 1 is usual.
	Slowdown float64
}

// Done ends an attempt that was sent.
type Done struct {
	Service core.Service
	Target  core.Target
	Result  Result
	Took    time.Duration
	// Load is nil if the target reported none.
	Load *LoadReport
}

// Probed is the result of a Probe.
type Probed struct {
	Target core.Target
	// Healthy is set if the target's own process answered that it is well.
	Healthy bool
	// Other is set if another process answered.
	Other bool
	Load  *LoadReport
	// Cold is how much longer the target stays cold by its own word.
	Cold time.Duration
}

// TargetsChanged brings the registered targets.
type TargetsChanged struct{ View *discovery.View }

// OwnersChanged brings the owners of keys.
type OwnersChanged struct{ View *ownership.View }

// ServicesChanged brings the services of a new configuration.
type ServicesChanged struct {
	Services map[core.Service]routing.Service
}

// MembersChanged brings the VMs of the deployment.
type MembersChanged struct{ View *roster.View }

// LimitsChanged brings new limits of retries.
type LimitsChanged struct{ Limits RetryLimits }

// Survey asks for a summary of the load for the assigner. Reply has room for
// one answer.
type Survey struct{ Reply chan<- ownership.LoadReport }

// Tick advances time.
type Tick struct{}

func (Ask) message()             {}
func (Done) message()            {}
func (Probed) message()          {}
func (TargetsChanged) message()  {}
func (OwnersChanged) message()   {}
func (ServicesChanged) message() {}
func (MembersChanged) message()  {}
func (LimitsChanged) message()   {}
func (Survey) message()          {}
func (Tick) message()            {}

// Output is what the balancer wants done.
type Output interface{ output() }

// Decide answers an Ask.
type Decide struct {
	To       chan<- Decision
	Decision Decision
}

// Probe asks a target for its health.
type Probe struct {
	Target  core.Target
	Address string
	Path    string
}

// Suspect tells that a target's process seems to be gone.
type Suspect struct{ Target core.Target }

// Cold tells that a target reported a cold start.
type Cold struct {
	Target core.Target
	Left   time.Duration
}

// Surveyed answers a Survey.
type Surveyed struct {
	To   chan<- ownership.LoadReport
	Load ownership.LoadReport
}

// Event is a change of what the balancer believes, for the log.
type Event struct {
	Text   string
	Fields []any
}

func (Decide) output()   {}
func (Probe) output()    {}
func (Suspect) output()  {}
func (Cold) output()     {}
func (Surveyed) output() {}
func (Event) output()    {}
