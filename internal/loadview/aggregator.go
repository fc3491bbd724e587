package loadview

import (
	"cmp"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

const (
	// EntryTTL is how long a VM's entries are kept at the leader, and how long a
	// digest is used at a VM.
	EntryTTL = 3 * time.Second
	// refreshInterval is the least time between two computations of the aggregate.
	// It keeps the cost independent of the number of reports.
	refreshInterval = 100 * time.Millisecond
	// digestBudget is how many bytes of digests per second the leader sends at most
	// because of small changes of entries of entryBytes. The slowest links have
	// 10 Mbit/s, and the VMs exchange requests over them too.
	digestBudget = 300_000
	entryBytes   = 48
	// minQuietTime is the least time between two small changes of an entry.
	minQuietTime = 500 * time.Millisecond
	// maxTargets and maxVMs bound the state if reports name targets or VMs that
	// don't exist. The largest planned deployment has 13,000 VMs.
	maxTargets = 16384
	maxVMs     = 32768
)

// Aggregator is the state machine of the leader. On other VMs it has no state and
// replies with empty digests.
type Aggregator struct {
	self    ownership.Leader
	leading bool
	// vms holds the last report of each VM.
	vms     map[core.VM]*sender
	targets map[Process]*targetState
	// removed holds when and with which sequence number entries were removed.
	removed map[Process]removal
	// sequence only grows, and firstSequence is its value when this VM became the
	// leader. Digests before it belong to an earlier term of the same process.
	sequence      uint64
	firstSequence uint64
	admitting     int
	refreshedAt   core.Instant
}

type sender struct {
	incarnation int64
	at          core.Instant
}

type removal struct {
	sequence uint64
	at       core.Instant
}

// NewAggregator returns an aggregator for a VM's process that is not the leader.
func NewAggregator(self ownership.Leader) *Aggregator {
	a := &Aggregator{self: self}
	a.clear()
	return a
}

func (a *Aggregator) clear() {
	a.vms = make(map[core.VM]*sender)
	a.targets = make(map[Process]*targetState)
	a.removed = make(map[Process]removal)
	a.sequence++
	a.firstSequence, a.admitting = a.sequence, 0
}

// Step implements duty.Step.
func (a *Aggregator) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case LeaderChanged:
		if leads := m.Leader == a.self; leads != a.leading {
			a.leading = leads
			a.clear()
		}
	case Report:
		return a.report(now, m)
	case Tick:
		if a.leading && len(a.targets)+len(a.removed) > 0 {
			return a.refresh(now)
		}
	}
	return nil
}

// report adds a VM's observations and replies with the entries that the VM lacks.
func (a *Aggregator) report(now core.Instant, r Report) []Output {
	if !a.leading {
		return reply(r, Digest{Leader: a.self})
	}
	from := a.vms[r.VM]
	switch {
	case from == nil && len(a.vms) < maxVMs:
		from = &sender{}
		a.vms[r.VM] = from
	case from == nil || r.Incarnation < from.incarnation:
		return reply(r, Digest{Leader: a.self})
	}
	from.incarnation, from.at = r.Incarnation, now
	interval := min(max(r.Interval, minInterval), maxInterval)
	for _, o := range r.Observations {
		if o, ok := o.bounded(); ok {
			a.observe(now, r.VM, from, interval, o)
		}
	}
	out := a.refresh(now)
	return append(out, reply(r, a.digest(now, r))...)
}

func reply(r Report, d Digest) []Output {
	if r.Reply == nil {
		return nil
	}
	return []Output{SendReply{To: r.Reply, Digest: d}}
}

func (a *Aggregator) observe(now core.Instant, vm core.VM, from *sender, interval time.Duration, o Observation) {
	t := a.targets[o.Process]
	if t == nil {
		if len(a.targets) >= maxTargets {
			return
		}
		t = &targetState{byVM: make(map[core.VM]*demand), trim: 1, sinceChange: now}
		a.targets[o.Process] = t
		delete(a.removed, o.Process)
	}
	t.observe(now, vm, from, interval, o)
}

// quietTime returns the time between two small changes of an entry, which reach every
// VM.
func (a *Aggregator) quietTime() time.Duration {
	seconds := float64(len(a.targets)) * float64(len(a.vms)) * entryBytes / digestBudget
	return max(minQuietTime, time.Duration(min(seconds, time.Hour.Seconds())*float64(time.Second)))
}

// refresh computes the aggregate of each target if it is due.
func (a *Aggregator) refresh(now core.Instant) []Output {
	elapsed := now.Sub(a.refreshedAt)
	if elapsed < refreshInterval {
		return nil
	}
	a.refreshedAt = now
	var out []Output
	next := a.sequence + 1
	a.admitting = 0
	quiet := a.quietTime()
	for p, t := range a.targets {
		changed, event := t.refresh(now, min(elapsed, time.Second), quiet)
		if event != "" {
			out = append(out, Event{Text: event, Fields: []any{
				"target", p.Target, "demand_per_s", t.total.demand, "capacity_per_s", t.capacity(), "slots", t.slots,
				"service_ms", t.serviceTime().Milliseconds(), "vms", len(t.byVM),
			}})
		}
		if len(t.byVM) == 0 {
			delete(a.targets, p)
			a.removed[p] = removal{sequence: next, at: now}
			a.sequence = next
			continue
		}
		if t.admitting {
			a.admitting++
		}
		if changed {
			t.sequence, a.sequence = next, next
		}
	}
	a.expire(now)
	return out
}

func (a *Aggregator) expire(now core.Instant) {
	for vm, s := range a.vms {
		if now.Sub(s.at) > EntryTTL {
			delete(a.vms, vm)
		}
	}
	// A VM whose last digest is older than EntryTTL asks for all entries.
	for p, r := range a.removed {
		if now.Sub(r.at) > EntryTTL+maxInterval {
			delete(a.removed, p)
		}
	}
}

// digest returns the entries that the sender of a report lacks, and those of all
// targets under admission, whose Admit depends on the sender.
func (a *Aggregator) digest(now core.Instant, r Report) Digest {
	have := r.Have
	full := r.Leader != a.self || have < a.firstSequence || have > a.sequence
	d := Digest{Leader: a.self, Sequence: a.sequence, Full: full, Admitting: a.admitting}
	for p, t := range a.targets {
		if full || t.sequence > have || t.admitting {
			d.Entries = append(d.Entries, t.entry(now, p, r.VM))
		}
	}
	for p, removed := range a.removed {
		if !full && removed.sequence > have {
			d.Entries = append(d.Entries, Entry{Process: p, Removed: true})
		}
	}
	slices.SortFunc(d.Entries, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Target, y.Target), cmp.Compare(x.StartedAt, y.StartedAt))
	})
	return d
}
