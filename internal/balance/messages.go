package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/cost"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

// Message is an input of the balancer.
type Message interface{ message() }

// SelectTarget requests a target for one attempt. Reply must be buffered.
type SelectTarget struct {
	Service core.Service
	// Route is the name of the request's route. The requests of a route take about
	// the same time.
	Route string
	// Objective is the latency objective of the route, or 0.
	Objective time.Duration
	// Key is set for sharded services.
	Key uint16
	// Features are what the work of the request may depend on, if the service has load
	// control.
	Features cost.Features
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Deadline is when the caller must have the response.
	Deadline core.Instant
	// Patience is how long the caller said that it waits when it sent the request, or
	// 0 if it didn't say so.
	Patience time.Duration
	// Waited is how long the caller has been waiting since before it sent the request,
	// as it was rejected before. The balancer sets it under load control.
	Waited time.Duration
	// Tried are the targets of earlier attempts.
	Tried []core.Target
	// Kind says why the attempt is made.
	Kind AttemptKind
	// Counted is set if an earlier SelectTarget has counted the request.
	Counted bool
	Reply   chan<- Decision
}

// AttemptKind says why an attempt is made.
type AttemptKind uint8

const (
	// First is the first attempt, or one that follows an attempt of which nothing
	// was sent.
	First AttemptKind = iota
	// Retry follows a failed attempt.
	Retry
	// Hedge runs in parallel with a slow attempt.
	Hedge
)

// Verdict is the kind of a decision.
type Verdict uint8

const (
	// Send means that the attempt may be sent to the target.
	Send Verdict = iota
	// Wait means that no owner of the key can take the request now; the caller
	// repeats the request shortly.
	Wait
	// Reject means that the attempt must not be sent.
	Reject
)

// Decision is the reply to a SelectTarget.
type Decision struct {
	Verdict Verdict
	// Target is where to send the attempt. With Wait and Reject only its ID is
	// set, and only if a target caused the decision.
	Target Target
	// Reason is the cause of the decision, for logs and counters.
	Reason string
	// RetryAfter is the delay after which a rejected caller may retry.
	RetryAfter time.Duration
	// MaxWait is how long a request may wait with Wait, from its first decision.
	MaxWait time.Duration
	// ExpectedLatency is the estimated time until the response.
	ExpectedLatency time.Duration
	// Occupancy is the estimated number of requests at the target.
	Occupancy float64
	// LoadAge is the age of the target's last load report, negative if there is
	// none.
	LoadAge time.Duration
	// Attempt identifies the attempt in its AttemptDone. It is 0 unless the attempt may
	// be sent and the service has load control.
	Attempt uint64
}

// Target identifies the target of an attempt.
type Target struct {
	ID      core.Target
	Address string
	// StartedAt is when the target's process started, in Unix milliseconds.
	StartedAt int64
	// MaxConnections is this VM's limit of connections to the target.
	MaxConnections int
}

// Result says how an attempt ended.
type Result uint8

const (
	// Succeeded: complete response that isn't a failure of the target itself.
	Succeeded Result = iota
	// Failed: the target responded with a failure of its own or with an invalid
	// response.
	Failed
	// Shed: the target reported that it did not run the request.
	Shed
	// ConnectFailed: no connection could be made.
	ConnectFailed
	// ConnectionLost: the connection was reset or closed before the response.
	ConnectionLost
	// TimedOut: no response before the deadline of the attempt.
	TimedOut
	// Cancelled: the caller disconnected or another attempt finished first. It
	// says nothing about the target.
	Cancelled
	// OtherProcess: another process responds at the target's address.
	OtherProcess
	// NotOwner: the target doesn't hold the key.
	NotOwner
	// TurnedAway: the target closed the connection before anything was sent, as a
	// target does that is full.
	TurnedAway
)

func (r Result) String() string {
	return [...]string{"answered", "failed", "shed", "no-connection", "broken", "late", "cancelled", "other-process", "not-owner", "turned-away"}[r]
}

// TargetLoad is the load that a target reports with a response.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the present processing time to the usual one.
	Slowdown float64
}

// Announcement is what a target announces of itself in a response.
type Announcement struct {
	// RateLimit is how many requests a second the target takes from all VMs
	// together, or 0 if it names no limit.
	RateLimit float64
	// Leaving is set if the target is about to exit.
	Leaving bool
	// Pause is how long the target wants no requests from this VM, or 0.
	Pause time.Duration
	// Malformed is set if a part of the announcement can't be read. That part counts
	// as none.
	Malformed bool
}

// AttemptDone is the result of an attempt that was sent.
type AttemptDone struct {
	Service core.Service
	// Route and Objective are those of the SelectTarget.
	Route     string
	Objective time.Duration
	Target    core.Target
	Result    Result
	Elapsed   time.Duration
	// Features are those of the SelectTarget, and Attempt is that of the Decision.
	Features cost.Features
	Attempt  uint64
	// Load is the load that the target reported, or nil.
	Load *TargetLoad
	// Announced is what the target announced, or nil if it didn't respond.
	Announced *Announcement
}

// ProbeDone is the result of a Probe.
type ProbeDone struct {
	Target core.Target
	// Healthy is set if the target's own process reported that it is healthy.
	Healthy bool
	// OtherProcess is set if another process responds at the address.
	OtherProcess bool
	// Refused is set if nothing accepts connections at the address.
	Refused bool
	Load    *TargetLoad
	// ColdRemaining is how much longer the target reports that it stays cold.
	ColdRemaining time.Duration
}

// TargetsChanged carries the registered targets.
type TargetsChanged struct{ View *discovery.View }

// OwnersChanged carries the owners of keys.
type OwnersChanged struct{ View *ownership.View }

// ServicesChanged carries the services of a new configuration.
type ServicesChanged struct {
	Services map[core.Service]routing.Service
}

// MembersChanged carries the VMs of the deployment.
type MembersChanged struct{ View *roster.View }

// LimitsChanged carries new retry limits.
type LimitsChanged struct{ Limits RetryLimits }

// LoadReportRequest requests this VM's load report for the assigner. Reply must
// be buffered.
type LoadReportRequest struct{ Reply chan<- ownership.LoadReport }

// ObservationsRequest requests this VM's observations of the targets since the last
// request. Reply must be buffered.
type ObservationsRequest struct{ Reply chan<- Observations }

// Observations is the reply to an ObservationsRequest.
type Observations struct {
	// Report is for the leader. The sender sets its VM and Incarnation.
	Report loadview.Report
	// Unreachable lists the targets of sharded services that this VM can't connect to.
	Unreachable []core.Target
}

// DigestChanged carries a digest of the leader. AsOf is when the report was sent to
// which it replies.
type DigestChanged struct {
	Digest loadview.Digest
	AsOf   core.Instant
}

// Tick is sent at a regular interval and starts the probes that are due.
type Tick struct{}

func (SelectTarget) message()        {}
func (AttemptDone) message()         {}
func (ProbeDone) message()           {}
func (TargetsChanged) message()      {}
func (OwnersChanged) message()       {}
func (ServicesChanged) message()     {}
func (MembersChanged) message()      {}
func (LimitsChanged) message()       {}
func (LoadReportRequest) message()   {}
func (ObservationsRequest) message() {}
func (DigestChanged) message()       {}
func (Tick) message()                {}

// Output is an action that the balancer requests.
type Output interface{ output() }

// DecisionReply is the reply to a SelectTarget.
type DecisionReply struct {
	To       chan<- Decision
	Decision Decision
}

// Probe requests a health check of a target.
type Probe struct {
	Target  core.Target
	Address string
	Path    string
}

// TargetUnreachable reports that a target's process seems to have exited.
type TargetUnreachable struct {
	Target    core.Target
	StartedAt int64
}

// TargetLeaving reports that a target's process announced that it is about to
// exit.
type TargetLeaving struct {
	Target    core.Target
	StartedAt int64
}

// MalformedAnnouncement reports, once for each process, that a target's
// announcement can't be read.
type MalformedAnnouncement struct {
	Target  core.Target
	Service core.Service
}

// ColdStartReported reports that a target is in a cold start.
type ColdStartReported struct {
	Target    core.Target
	Remaining time.Duration
}

// LoadReportReply is the reply to a LoadReportRequest.
type LoadReportReply struct {
	To   chan<- ownership.LoadReport
	Load ownership.LoadReport
}

// ObservationsReply is the reply to an ObservationsRequest.
type ObservationsReply struct {
	To           chan<- Observations
	Observations Observations
}

// Event is a change of a target's state, for the log.
type Event struct {
	Text   string
	Fields []any
}

func (DecisionReply) output()         {}
func (Probe) output()                 {}
func (TargetUnreachable) output()     {}
func (TargetLeaving) output()         {}
func (MalformedAnnouncement) output() {}
func (ColdStartReported) output()     {}
func (LoadReportReply) output()       {}
func (ObservationsReply) output()     {}
func (Event) output()                 {}
