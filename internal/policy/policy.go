package policy

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Sharding is how the requests of a service are distributed to its targets.
type Sharding string

const (
	// ShardingKey: each key has one owner.
	ShardingKey Sharding = "key"
	// ShardingNone: any target may run an idempotent request; other requests are
	// sharded by request id.
	ShardingNone Sharding = "none"
)

// Isolation is what happens to a service's ranges while their holder is isolated
// by a network partition; see docs/design.md, sections 5.4 and 7.3.
type Isolation string

const (
	// IsolationKeep: the holder continues to serve; no other target takes over.
	IsolationKeep Isolation = "keep"
	// IsolationYield: the holder stops; other targets take over.
	IsolationYield Isolation = "yield"
)

// MissingID is how a non-idempotent request without a request id is handled.
type MissingID string

const (
	// MissingIDAssign gives the request a UUIDv7.
	MissingIDAssign MissingID = "assign"
	// MissingIDReject rejects the request.
	MissingIDReject MissingID = "refuse"
)

// Policy is the content of a valid document.
type Policy struct {
	Deployment     string
	FailureDomains []core.FailureDomain
	Control        Control
	Services       map[core.Service]Service
	Targets        map[core.Target]Target
	// Routes are ordered by name.
	Routes   []Route
	Branches map[core.Branch]Branch
	// Deviations holds the bounds within which branches may override limits. A
	// limit without an entry can't be overridden.
	Deviations map[LimitName]Bounds

	// capacity caches DomainCapacity, which every lookup needs. It is nil unless
	// the policy comes from Parse.
	capacity map[serviceDomain]float64
}

// serviceDomain identifies a service in a failure domain.
type serviceDomain struct {
	service core.Service
	domain  core.FailureDomain
}

// LimitName identifies a limit of a service; its text form is service.limit.
type LimitName struct {
	Service core.Service
	Limit   string
}

func (n LimitName) String() string { return string(n.Service) + "." + n.Limit }

// Bounds are the minimum and maximum of a number, in its unit; durations are in
// nanoseconds.
type Bounds struct{ Min, Max float64 }

// Control holds the parameters of the control plane.
type Control struct {
	// Candidates is the number of VMs that may succeed a coordinator, 0 to 4.
	Candidates int
	// Witnesses is the number of VMs that keep a copy of a front's request ids.
	Witnesses int
	// IDRetention is how long records of request ids are kept.
	IDRetention time.Duration
	// MovesInFlight limits the concurrent moves of ranges in a failure domain.
	MovesInFlight int
	// MoveThreshold is the minimum excess of a target's load over the mean, as a
	// fraction of the mean, for which ranges are moved.
	MoveThreshold float64
	// MoveAfter is how long the excess must last.
	MoveAfter time.Duration
	// HotShare is the fraction of a target's capacity above which a key becomes a
	// range of its own.
	HotShare float64
	// HotKeys limits the number of such keys in a failure domain.
	HotKeys int
	// LogRetention is the minimum time for which the platform keeps a record,
	// LogRecords the minimum number of records that it keeps.
	LogRetention time.Duration
	LogRecords   int
}

// Service is a group of targets that own the same kind of keys.
type Service struct {
	Name      core.Service
	Sharding  Sharding
	Ranges    uint32
	Isolation Isolation
	Limits    Limits
}

// Limits apply to the requests of a service. Branches may override some of them.
type Limits struct {
	// Timeout is the deadline of a request from its arrival at the entry VM.
	Timeout time.Duration
	// QueueLength limits the requests that wait for one target, per class.
	QueueLength int
	// HoldTime limits how long requests wait for a range that is being moved.
	HoldTime time.Duration
	// RetryBudget is the fraction of requests that may be retries.
	RetryBudget float64
	// HedgeBudget is the fraction of idempotent requests that may be hedges.
	HedgeBudget float64
	// ColdSlots is the number of concurrent requests that a cold target gets at
	// first.
	ColdSlots int
	// RampStep is the number of consecutive successes after which the limit of a
	// cold target doubles.
	RampStep int
	// BodyBytes limits the size of a request body.
	BodyBytes int64
	// CallerShare limits the fraction of a queue that one caller may occupy.
	CallerShare float64
}

// Target is a server that owns keys.
type Target struct {
	ID            core.Target
	Service       core.Service
	FailureDomain core.FailureDomain
	// Address is the IP:port of the target's HTTP interface.
	Address     string
	Slots       int
	Connections int
	// ChecksGrants is false for a target that accepts requests from any VM,
	// without a grant.
	ChecksGrants bool
	// Leaving marks a target that is being drained and gets no new work.
	Leaving bool
	// Speed is the weight of the target's slots relative to other targets.
	Speed float64
}

// Capacity returns the target's weight in the distribution of ranges.
func (t Target) Capacity() float64 { return float64(t.Slots) * t.Speed }

// KeySource is the part of a request from which a route takes the key.
type KeySource struct {
	// Kind is "path", "query" or "header", or "" if the service is not sharded by
	// key.
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

// Branch overrides limits for requests that carry its name.
type Branch struct {
	Name core.Branch
	// Limits holds the effective limits of each service with an override.
	Limits map[core.Service]Limits
	// Overrides lists the overridden limits, sorted by name.
	Overrides []LimitName
}

// LimitsFor returns the limits of a service that apply to a branch.
func (p *Policy) LimitsFor(s core.Service, b core.Branch) Limits {
	if branch, ok := p.Branches[b]; ok {
		if l, ok := branch.Limits[s]; ok {
			return l
		}
	}
	return p.Services[s].Limits
}
