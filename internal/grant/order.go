package grant

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// OrderKind is the kind of an order to a target.
type OrderKind string

const (
	// OrderTake sets token, front and ranges, and the end of the lease.
	OrderTake OrderKind = "take"
	// OrderRenew renews the lease of the grant with the same token.
	OrderRenew OrderKind = "renew"
	// OrderRelease ends the grant.
	OrderRelease OrderKind = "release"
	// OrderInspect reads the grant and, with a token, fences smaller tokens.
	OrderInspect OrderKind = "inspect"
	// OrderDrain asks the target to accept no new work.
	OrderDrain OrderKind = "drain"
)

// TargetClock is a clock reading of a target, in milliseconds since its start.
type TargetClock int64

// Order is sent to a target.
type Order struct {
	Kind   OrderKind      `json:"kind"`
	Token  core.Token     `json:"token"`
	Front  core.VM        `json:"front"`
	Ranges []core.RangeID `json:"ranges,omitempty"`
	// Incarnation of the target that the clock readings and the assignment refer
	// to. A target rejects a take or renew for another one: its clock restarts
	// at 0, so a lease end from before a restart would be far in the future.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Number distinguishes the orders of a renewer; it is not sent.
	Number uint64 `json:"-"`
	// Deadline is the target clock reading after which the order is rejected;
	// 0 for an inspect, which may come before any reading is known.
	Deadline TargetClock `json:"deadline,omitempty"`
	// LeaseEnd is the target clock reading at which the grant ends.
	LeaseEnd TargetClock `json:"lease_end,omitempty"`
}

// OrderReply is a target's response to an order, with the grant it now holds.
type OrderReply struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	// Token is the greatest token that the target has seen.
	Token core.Token `json:"token"`
	// Held is set if there is an unexpired grant, which Front and Ranges describe.
	Held     bool           `json:"held"`
	Front    core.VM        `json:"front"`
	Ranges   []core.RangeID `json:"ranges,omitempty"`
	LeaseEnd TargetClock    `json:"lease_end"`
	// Granted is the token of the last grant that was taken, even if it has
	// ended. Token may be greater because of an inspect.
	Granted     core.Token  `json:"granted"`
	Clock       TargetClock `json:"clock"`
	Incarnation uint64      `json:"incarnation"`
	InFlight    int         `json:"in_flight"`
	Cold        bool        `json:"cold"`
	Draining    bool        `json:"draining"`
}

// ClockReading relates a target's clock to this VM's.
type ClockReading struct {
	Clock TargetClock
	// Received is when the response with the reading arrived.
	Received core.Instant
	// Sent is when its request was sent.
	Sent core.Instant
}

// LowerBound returns a reading that the target's clock shows at t or earlier:
// what the target rejects after that reading cannot run after t. For an instant
// before the arrival of the known reading, it subtracts the difference from it.
func (c ClockReading) LowerBound(t core.Instant) TargetClock {
	d := t.Sub(c.Received)
	if d < 0 {
		return c.Clock + TargetClock(core.PlusDrift(d).Milliseconds()) - 1
	}
	return c.Clock + TargetClock(core.MinusDrift(d)/time.Millisecond)
}
