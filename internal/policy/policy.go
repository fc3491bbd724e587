package policy

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Division says how the requests of a service are divided among its targets.
type Division string

const (
	// DivisionKey: each key has one owner.
	DivisionKey Division = "key"
	// DivisionNone: any target runs an idempotent request; others are divided
	// by request id.
	DivisionNone Division = "none"
)

// Isolation says what happens to a service's ranges when their holder is cut
// off; docs/design.md sections 5.4 and 7.3.
type Isolation string

const (
	// IsolationKeep: the holder goes on; nobody takes over.
	IsolationKeep Isolation = "keep"
	// IsolationYield: the holder stops; others take over.
	IsolationYield Isolation = "yield"
)

// MissingID says what happens to a non-idempotent request without a request id.
type MissingID string

const (
	// MissingIDAssign gives the request a UUIDv7.
	MissingIDAssign MissingID = "assign"
	// MissingIDRefuse rejects the request.
	MissingIDRefuse MissingID = "refuse"
)

// Policy is a validated document.
type Policy struct {
	Deployment     string
	FailureDomains []core.FailureDomain
	Control        Control
	Services       map[core.Service]Service
	Targets        map[core.Target]Target
	// Routes are ordered by name.
	Routes   []Route
	Branches map[core.Branch]Branch
	// Deviations bounds what branches may override; a limit that isn't listed
	// may not be overridden.
	Deviations map[LimitName]Bounds

	// capacity caches DomainCapacity, which every lookup needs. It is nil in a
	// policy that wasn't parsed.
	capacity map[place]float64
}

// place is a service in a failure domain.
type place struct {
	service core.Service
	domain  core.FailureDomain
}

// LimitName names a limit of a service, as service.limit.
type LimitName struct {
	Service core.Service
	Limit   string
}

func (n LimitName) String() string { return string(n.Service) + "." + n.Limit }

// Bounds are the least and the greatest value of a limit, in its unit;
// durations are in nanoseconds.
type Bounds struct{ Min, Max float64 }

// Control holds the limits of the system's own decisions.
type Control struct {
	// Candidates is how many VMs may succeed a coordinator, 0 to 4.
	Candidates int
	// Witnesses is how many VMs keep a copy of a front's request ids.
	Witnesses int
	// Remember is how long a request id is remembered.
	Remember time.Duration
	// MovesInFlight bounds how many ranges move at a time in a failure domain.
	MovesInFlight int
	// MoveThreshold is the least excess of a target's load over the mean, as a
	// share of the mean, for which ranges are moved.
	MoveThreshold float64
	// MoveAfter is how long the excess must last.
	MoveAfter time.Duration
	// HotShare is the share of a target's capacity above which a key becomes a
	// range of its own.
	HotShare float64
	// HotKeys bounds the number of such keys in a failure domain.
	HotKeys int
	// LogRetention and LogRecords are how long, and how many, records the
	// platform keeps at least.
	LogRetention time.Duration
	LogRecords   int
}

// Service is a group of targets that own the same kind of keys.
type Service struct {
	Name      core.Service
	Division  Division
	Ranges    uint32
	Isolation Isolation
	Limits    Limits
}

// Limits bound the requests of a service. A branch may deviate from them.
type Limits struct {
	// Timeout is the deadline of a request from its arrival at the entry VM.
	Timeout time.Duration
	// QueueLength bounds the requests that wait for one target, per class.
	QueueLength int
	// HoldTime bounds how long requests wait for a range that moves.
	HoldTime time.Duration
	// RetryBudget is the share of requests that may be retries.
	RetryBudget float64
	// HedgeBudget is the share of idempotent requests that may be hedges.
	HedgeBudget float64
	// ColdSlots is how many requests a cold target gets at a time.
	ColdSlots int
	// RampStep is how many requests in a row must succeed before a cold
	// target's limit doubles.
	RampStep int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// CallerShare bounds the share of a queue that one caller may fill.
	CallerShare float64
}

// Target is a server that owns keys.
type Target struct {
	ID            core.Target
	Service       core.Service
	FailureDomain core.FailureDomain
	// Address is host:port of the target's HTTP interface.
	Address     string
	Slots       int
	Connections int
	// ChecksGrants is false for a target that takes orders from anybody.
	ChecksGrants bool
	// Leaving marks a target that gets no new work.
	Leaving bool
	// Speed weighs the target's slots against those of other targets.
	Speed float64
}

// Capacity is the target's weight in a division.
func (t Target) Capacity() float64 { return float64(t.Slots) * t.Speed }

// KeySource says where a route takes the key from.
type KeySource struct {
	// Kind is "path", "query", "header" or "" for a service that isn't divided.
	Kind string
	Name string
}

// Route maps callers' requests to a service.
type Route struct {
	Name    string
	Method  string
	Path    string
	Service core.Service
	Class   core.Class
	// Idempotent requests may be retried and hedged.
	Idempotent bool
	Key        KeySource
	MissingID  MissingID
}

// Branch overrides limits for requests that name it.
type Branch struct {
	Name core.Branch
	// Limits holds the whole limits of each service for which the branch deviates.
	Limits map[core.Service]Limits
	// Overrides lists the limits that the branch sets, in order.
	Overrides []LimitName
}

// LimitsFor returns the limits of a service for a branch.
func (p *Policy) LimitsFor(s core.Service, b core.Branch) Limits {
	if branch, ok := p.Branches[b]; ok {
		if l, ok := branch.Limits[s]; ok {
			return l
		}
	}
	return p.Services[s].Limits
}
