package policy

import "time"

// number describes a numeric key of a section whose values are stored in an S. A
// test compares these tables with docs/POLICY.md.
type number[S any] struct {
	name         string
	unit         Unit
	defaultValue float64
	min, max     float64
	// branch is set if branches may override the number.
	branch bool
	field  func(*S) any
	reason string
}

const (
	millisecond = float64(time.Millisecond)
	second      = float64(time.Second)
	minute      = float64(time.Minute)
	hour        = float64(time.Hour)
)

// controlNumbers are the numbers of [control].
var controlNumbers = []number[Control]{
	{
		name: "candidates", unit: UnitCount, defaultValue: 2, min: 0, max: 4,
		field:  func(c *Control) any { return &c.Candidates },
		reason: "two keep moves possible after the loss of the coordinator during a platform outage; more than four would make every promise round wait for more VMs",
	},
	{
		name: "witnesses", unit: UnitCount, defaultValue: 1, min: 0, max: 4,
		field:  func(c *Control) any { return &c.Witnesses },
		reason: "one copy survives the loss of one VM; each further one adds a round trip to non-idempotent requests",
	},
	{
		name: "remember", unit: UnitDuration, defaultValue: 10 * minute, min: minute, max: hour,
		field:  func(c *Control) any { return &c.IDRetention },
		reason: "callers repeat a request within minutes; the memory of a front grows with it",
	},
	{
		name: "moves_in_flight", unit: UnitCount, defaultValue: 4, min: 1, max: 64,
		field:  func(c *Control) any { return &c.MovesInFlight },
		reason: "a moving range holds its requests, so few move at a time",
	},
	{
		name: "move_threshold", unit: UnitShare, defaultValue: 0.25, min: 0.01, max: 10,
		field:  func(c *Control) any { return &c.MoveThreshold },
		reason: "below a quarter above the mean a move costs more churn than it gains",
	},
	{
		name: "move_after", unit: UnitDuration, defaultValue: 10 * second, min: second / 10, max: 10 * minute,
		field:  func(c *Control) any { return &c.MoveAfter },
		reason: "a shorter excess is usually a burst that ends by itself",
	},
	{
		name: "hot_share", unit: UnitShare, defaultValue: 0.3, min: 0.01, max: 1,
		field:  func(c *Control) any { return &c.HotShare },
		reason: "a key that takes a third of a target leaves too little for the other keys of its range",
	},
	{
		name: "hot_keys", unit: UnitCount, defaultValue: 190, min: 0, max: 10000,
		field:  func(c *Control) any { return &c.HotKeys },
		reason: "the number of hot keys at the target size",
	},
	{
		name: "log_retention", unit: UnitDuration, defaultValue: hour, min: minute, max: 720 * hour,
		field:  func(c *Control) any { return &c.LogRetention },
		reason: "the least time for which the platform keeps a record; the state is appended again after a third of it",
	},
	{
		name: "log_records", unit: UnitCount, defaultValue: 10000, min: 30, max: 1e9,
		field:  func(c *Control) any { return &c.LogRecords },
		reason: "the least number of records that the platform keeps; the state is appended again after a third of them",
	},
}

// rangesNumber is the only number of a service that is not one of its limits.
var rangesNumber = number[Service]{
	name: "ranges", unit: UnitCount, defaultValue: 240, min: 1, max: 65536,
	field:  func(s *Service) any { return &s.Ranges },
	reason: "divides evenly among 2, 3, 4, 5, 6, 8, 10, 12, 15 and 16 targets, and keeps a map small",
}

// limitNumbers are the limits of a service. Branches can't override a limit that
// protects targets, since they share the targets.
var limitNumbers = []number[Limits]{
	{
		name: "timeout", unit: UnitDuration, defaultValue: second, min: 10 * millisecond, max: 20 * second, branch: true,
		field:  func(l *Limits) any { return &l.Timeout },
		reason: "far above the 18 ms that 99 in 100 requests take at most, and below the grant lease of 1.2 s; more than 20 s would outlast a graceful shutdown",
	},
	{
		name: "queue_length", unit: UnitCount, defaultValue: 64, min: 1, max: 10000, branch: true,
		field:  func(l *Limits) any { return &l.QueueLength },
		reason: "about ten requests for each slot; a longer queue only holds requests that miss their deadline",
	},
	{
		name: "hold_time", unit: UnitDuration, defaultValue: second, min: 0, max: 10 * second, branch: true,
		field:  func(l *Limits) any { return &l.HoldTime },
		reason: "a planned move takes less; a caller that waits longer is better answered not-run",
	},
	{
		name: "retry_budget", unit: UnitShare, defaultValue: 0.1, min: 0, max: 1, branch: true,
		field:  func(l *Limits) any { return &l.RetryBudget },
		reason: "retries add at most a tenth to the load when many targets reject",
	},
	{
		name: "hedge_budget", unit: UnitShare, defaultValue: 0.05, min: 0, max: 0.5, branch: true,
		field:  func(l *Limits) any { return &l.HedgeBudget },
		reason: "a hedge after the 95th percentile concerns one request in twenty",
	},
	{
		name: "cold_slots", unit: UnitCount, defaultValue: 1, min: 1, max: 1000,
		field:  func(l *Limits) any { return &l.ColdSlots },
		reason: "one request at a time is the least that warms a target",
	},
	{
		name: "ramp_step", unit: UnitCount, defaultValue: 8, min: 1, max: 10000,
		field:  func(l *Limits) any { return &l.RampStep },
		reason: "eight successes tell a warm target from one that was lucky",
	},
	{
		name: "body_bytes", unit: UnitBytes, defaultValue: 1 << 20, min: 0, max: 16 << 20, branch: true,
		field:  func(l *Limits) any { return &l.BodyBytes },
		reason: "bookings take a few KB; bodies are held in memory at every hop",
	},
	{
		name: "caller_share", unit: UnitShare, defaultValue: 0.5, min: 0.01, max: 1, branch: true,
		field:  func(l *Limits) any { return &l.CallerShare },
		reason: "one caller can't fill a queue alone",
	},
}

// targetNumbers are the numbers of a target.
var targetNumbers = []number[Target]{
	{
		name: "slots", unit: UnitCount, defaultValue: 1, min: 1, max: 1000,
		field:  func(t *Target) any { return &t.Slots },
		reason: "every server runs at least one request at a time",
	},
	{
		name: "connections", unit: UnitCount, defaultValue: 60, min: 1, max: 10000,
		field:  func(t *Target) any { return &t.Connections },
		reason: "the smaller of the two deployments' servers",
	},
	{
		name: "speed", unit: UnitFactor, defaultValue: 1, min: 0.01, max: 100,
		field:  func(t *Target) any { return &t.Speed },
		reason: "targets of a service are usually alike",
	},
}

func findLimit(name string) (number[Limits], bool) {
	for _, n := range limitNumbers {
		if n.name == name {
			return n, true
		}
	}
	return number[Limits]{}, false
}
