package core

import "time"

// Timing constants of leases; docs/design.md section 4.1 gives the reasons.
const (
	GrantLease        = 1200 * time.Millisecond
	RenewInterval     = 300 * time.Millisecond
	HeartbeatInterval = 200 * time.Millisecond
	HeartbeatTimeout  = 700 * time.Millisecond
	PromiseLease      = 600 * time.Millisecond
	LogLease          = 900 * time.Millisecond
	// DriftPerMille bounds how far two clocks' rates differ.
	DriftPerMille = 5
)

// Shorten returns d less the drift bound: the time for which a lease of d may
// be relied on as held.
func Shorten(d time.Duration) time.Duration { return d - d*DriftPerMille/1000 }

// Lengthen returns d plus the drift bound: the time after which a lease of d
// has ended on any clock.
func Lengthen(d time.Duration) time.Duration { return d + d*DriftPerMille/1000 }

// RangeState says what a front may do with a range.
type RangeState uint8

const (
	// RangeServing: the front of the range's target serves it.
	RangeServing RangeState = iota
	// RangeMoving: the front of the range's target stops, releases and reports.
	RangeMoving
	// RangeWaiting: the range has no target, as its last grant may not have ended.
	RangeWaiting
)

// TargetAssignment says which VM is the front of a target.
type TargetAssignment struct {
	Front VM
	// FrontIncarnation is that of the process that is the front. A process that
	// replaces it under the VM's id knows nothing of what it sent, and waits for
	// an assignment of its own.
	FrontIncarnation uint64
	// Witnesses keep a copy of the front's request ids.
	Witnesses []VM
	// Previous are the VMs that may hold the request ids of earlier fronts.
	Previous []VM
	// PreviousSince is the token from which the last front and its witnesses
	// were as they are in Previous. The memory of a VM that had no part in it
	// from then on is not complete. Zero means that any counts.
	PreviousSince Token
	Token         Token
	// Incarnation is the target's incarnation for which the assignment is
	// made. A target that restarts forgets its fence, so a front gives its
	// grant to no other incarnation.
	Incarnation uint64
	Leaving     bool
}

// RangeAssignment says which target owns a range.
type RangeAssignment struct {
	Target Target
	State  RangeState
	// MemoryAt are the VMs that hold the range's request ids from before its move.
	MemoryAt []VM
	// MemorySince is to MemoryAt what PreviousSince is to Previous.
	MemorySince Token
	// FirstFor is the incarnation of the front's process if no front had the
	// range before, so that there are no request ids to recall; else 0. A
	// process that replaces it under the VM's id has another incarnation.
	FirstFor uint64
}

// RangeMap is the assignment of one failure domain. It is never changed once
// it has been published.
type RangeMap struct {
	FailureDomain FailureDomain
	Version       Token
	Holder        VM
	Targets       map[Target]TargetAssignment
	Ranges        map[RangeID]RangeAssignment
}
