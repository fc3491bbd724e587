package ownership

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/replica"
)

const (
	// unreachableTTL is how long a target is avoided after it was found
	// unreachable.
	unreachableTTL = 3 * time.Second
	// rebalanceInterval is the time between rebalancing rounds. It equals the
	// interval of the load reports.
	rebalanceInterval = time.Second
	// coldCapacityFactor is the fraction of its capacity that a cold target is
	// assumed to have.
	coldCapacityFactor = 0.15
)

// change is a new assignment of a unit. A token of 0 stands for the token of the
// append.
type change struct {
	service    core.Service
	unit       int
	assignment Assignment
}

// plan returns the changes that are due and the reason for them. Changes that
// restore service come first.
func (a *Assigner) plan(now core.Instant) ([]change, string) {
	var names []core.Service
	for name, s := range a.services {
		if s.Sharded {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	for _, name := range names {
		if !a.anyEligible(now, name) {
			continue
		}
		if a.ledger.Services[name] == nil {
			if a.readyForFirstAssignment(now, name) {
				return a.newRebalancer(now, name).firstAssignment(), "first assignment"
			}
			continue
		}
		if a.anyOwnerLost(now, name) {
			if c := a.newRebalancer(now, name).reassignLost(a.stillServing(now)); len(c) > 0 {
				return c, "owner draining or lost"
			}
		}
	}
	if now.Sub(a.rebalancedAt) < rebalanceInterval {
		return nil, ""
	}
	a.rebalancedAt = now
	for _, name := range names {
		a.loads.update(name)
	}
	for _, name := range names {
		if a.ledger.Services[name] == nil || !a.anyEligible(now, name) {
			continue
		}
		r := a.newRebalancer(now, name)
		if c := r.fillEmptyTargets(); len(c) > 0 {
			a.recordMoves(now, c)
			return c, "target without keys"
		}
		if c := r.levelLoad(); len(c) > 0 {
			a.recordMoves(now, c)
			return c, "load"
		}
	}
	return nil, ""
}

func (a *Assigner) anyEligible(now core.Instant, s core.Service) bool {
	for _, t := range a.targets.ByService[s] {
		if a.eligible(now, t) {
			return true
		}
	}
	return false
}

// anyOwnerLost reports whether a unit that is not moving has an owner that cannot
// keep it.
func (a *Assigner) anyOwnerLost(now core.Instant, s core.Service) bool {
	for ar := range a.ledger.Services[s].Ranges() {
		if ar.Assignment.Moving() {
			continue
		}
		t := a.targets.Targets[ar.Assignment.Owner.Target]
		if t == nil || t.StartedAt != ar.Assignment.Owner.StartedAt || !a.eligible(now, t) {
			return true
		}
	}
	return false
}

// stillServing returns a function that reports whether a draining holder still
// serves its keys, so that they need not all move at once.
func (a *Assigner) stillServing(now core.Instant) func(Holder) bool {
	return func(h Holder) bool {
		t := a.targets.Targets[h.Target]
		if t == nil || t.StartedAt != h.StartedAt || t.Usable() {
			return false
		}
		return t.ServesOwnedKeys(now) && !a.recentlyUnreachable(now, t.ID)
	}
}

func (a *Assigner) readyForFirstAssignment(now core.Instant, s core.Service) bool {
	if now.Sub(a.firstSeen[s]) >= maxStableWait {
		return true
	}
	return now.Sub(a.lastChange[s]) >= targetsStableTime
}

func (a *Assigner) recordMoves(now core.Instant, list []change) {
	for _, c := range list {
		m := a.movedAt[c.service]
		if m == nil {
			m = new([Units]core.Instant)
			a.movedAt[c.service] = m
		}
		m[c.unit] = now
	}
}

func (a *Assigner) newRebalancer(now core.Instant, name core.Service) *rebalancer {
	r := &rebalancer{service: name, assignments: a.ledger.Services[name], movedAt: a.movedAt[name], now: now, byID: make(map[core.Target]*candidate)}
	r.unitLoads, r.totalLoad = a.loads.unitLoads(name)
	var mean time.Duration
	measured := 0
	for _, t := range a.targets.ByService[name] {
		if d := a.loads.meanServiceTime(t.ID); d > 0 {
			mean += d
			measured++
		}
	}
	if measured == 0 {
		mean = defaultServiceTime
	} else {
		mean /= time.Duration(measured)
	}
	for _, t := range a.targets.ByService[name] {
		if !a.eligible(now, t) {
			continue
		}
		d := a.loads.meanServiceTime(t.ID)
		if d == 0 {
			d = mean
		}
		c := &candidate{
			holder:      holderOf(t),
			capacity:    float64(max(t.Slots, 1)) / d.Seconds(),
			serviceTime: d,
			cold:        t.ColdUntil.After(now),
		}
		if c.cold {
			c.capacity *= coldCapacityFactor
		}
		r.candidates = append(r.candidates, c)
		r.byID[t.ID] = c
	}
	if s := a.services[name]; s.LoadControl && s.Objective > 0 {
		r.limitHotUnits = true
		weighByHeadroom(r.candidates, s.Objective, r.totalLoad)
	}
	sort.Slice(r.candidates, func(i, j int) bool { return r.candidates[i].holder.Target < r.candidates[j].holder.Target })
	if r.assignments != nil {
		for ar := range r.assignments.Ranges() {
			if c := r.owner(ar.Assignment); c != nil {
				for u := ar.From; u <= ar.To; u++ {
					c.load += r.unitLoads[u]
				}
				c.units += ar.To - ar.From + 1
			}
		}
	}
	return r
}

func (a *Assigner) eligible(now core.Instant, t *discovery.Target) bool {
	return t.Usable() && t.Address != "" && !a.recentlyUnreachable(now, t.ID)
}

// recentlyUnreachable reports whether a target was found unreachable within
// unreachableTTL.
func (a *Assigner) recentlyUnreachable(now core.Instant, t core.Target) bool {
	since, ok := a.unreachableAt[t]
	return ok && now.Sub(since) <= unreachableTTL
}

// encodeChanges returns the records of all blocks that contain changes.
func (a *Assigner) encodeChanges(changes []change) ([]replica.Record, error) {
	assignments := make(map[core.Service]*Assignments)
	blocks := make(map[core.Service]map[int]bool)
	for _, c := range changes {
		if assignments[c.service] == nil {
			old := a.ledger.Services[c.service]
			if old == nil {
				old = NewAssignments()
			}
			assignments[c.service], blocks[c.service] = old.Clone(), make(map[int]bool)
		}
		if c.assignment.Token == 0 {
			// Greater than every earlier token, as each append ends at a greater
			// offset, also in a later era of the store.
			c.assignment.Token = a.ledger.Next + 1
		}
		assignments[c.service].Set(c.unit, c.assignment)
		blocks[c.service][c.unit/unitsPerBlock] = true
	}
	var out []replica.Record
	for s, set := range blocks {
		for block := range set {
			r, err := encodeBlock(s, block, assignments[s], replica.Era(a.ledger.Next))
			if err != nil {
				return nil, err
			}
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

func encodeLeader(l Leader, grantDuration time.Duration, era int64, restored Confirmation) (replica.Record, error) {
	b, err := json.Marshal(leaderRecord{Leader: l, GrantMs: grantDuration.Milliseconds(), Era: era, Restored: restored})
	if err != nil {
		return replica.Record{}, fmt.Errorf("ownership: encode leader: %w", err)
	}
	return replica.Record{Key: leaderKey, Value: b}, nil
}
