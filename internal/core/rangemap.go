package core

import "time"

// Lease timing; docs/design.md section 4.1 gives the reasons.
const (
	GrantLease        = 1200 * time.Millisecond
	RenewInterval     = 300 * time.Millisecond
	HeartbeatInterval = 200 * time.Millisecond
	HeartbeatTimeout  = 700 * time.Millisecond
	PromiseLease      = 600 * time.Millisecond
	LogLease          = 900 * time.Millisecond
	// MaxDriftPerMille bounds the difference between the rates of two clocks.
	MaxDriftPerMille = 5
)

// MinusDrift returns d less the maximum clock drift: the time for which the
// holder of a lease of duration d may rely on it.
func MinusDrift(d time.Duration) time.Duration { return d - d*MaxDriftPerMille/1000 }

// PlusDrift returns d plus the maximum clock drift: the time after which a lease
// of duration d has expired on every clock.
func PlusDrift(d time.Duration) time.Duration { return d + d*MaxDriftPerMille/1000 }

// RangeState is the state of a range's assignment to a target.
type RangeState uint8

const (
	// RangeServing means that the front of the range's target serves the range.
	RangeServing RangeState = iota
	// RangeMoving means that the front of the range's target must stop serving
	// the range, release it and report the release.
	RangeMoving
	// RangeWaiting means that the range has no target because its last grant may
	// not have expired yet.
	RangeWaiting
)

// TargetAssignment assigns a front VM to a target.
type TargetAssignment struct {
	Front VM
	// FrontIncarnation is the incarnation of the front's process. A process that
	// replaces it under the same VM id does not know which requests it sent, and
	// must wait for a new assignment.
	FrontIncarnation uint64
	// Witnesses are the VMs that store a copy of the front's request ids.
	Witnesses []VM
	// Previous lists the VMs that may hold the request ids of earlier fronts.
	Previous []VM
	// PreviousSince is the token since which the last front and its witnesses
	// have been those in Previous. A VM that has not been one of them since then
	// has an incomplete set of request ids. Zero accepts every VM's set.
	PreviousSince Token
	Token         Token
	// Incarnation is the target incarnation that the assignment is valid for. A
	// target loses its fencing token when it restarts, so a front must not send
	// its grant to another incarnation.
	Incarnation uint64
	Leaving     bool
}

// RangeAssignment assigns a range to a target.
type RangeAssignment struct {
	Target Target
	State  RangeState
	// MemoryAt lists the VMs that hold the range's request ids from before it
	// was moved.
	MemoryAt []VM
	// MemorySince is the token since which the VMs in MemoryAt have been the
	// front and its witnesses; see TargetAssignment.PreviousSince.
	MemorySince Token
	// FirstFor is the incarnation of the front's process if no front has served
	// the range before, so that there are no request ids to recall; otherwise 0.
	// A process that replaces it under the same VM id has another incarnation.
	FirstFor uint64
}

// RangeMap holds the assignments of one failure domain. It is immutable once
// published.
type RangeMap struct {
	FailureDomain FailureDomain
	Version       Token
	// Holder is the VM that published the map.
	Holder  VM
	Targets map[Target]TargetAssignment
	Ranges  map[RangeID]RangeAssignment
}
