package ownership

import (
	"math"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// Load moves away from targets whose utilisation is at least
	// minSourceUtilisation, and whose load exceeds a fair share by the factor
	// sourceUtilisationFactor and by sourceDeviations standard deviations of random
	// arrivals, in at most maxMovesPerRound runs and at most maxLoadPerRound of the
	// service's load per round. Keys are unavailable while they move, about as long
	// as a request takes.
	minSourceUtilisation    = 0.45
	sourceUtilisationFactor = 1.25
	sourceDeviations        = 2.5
	maxMovesPerRound        = 96
	maxLoadPerRound         = 0.25
	// A unit that uses at least hotUnitUtilisation of a target's capacity moves to
	// a target whose utilisation with it is at most hotUnitUtilisationRatio of the
	// present owner's, as one hot key cannot be split.
	hotUnitUtilisation      = 0.3
	hotUnitUtilisationRatio = 0.75
	// A unit with more load than its new owner can serve moves only if that owner is
	// hotUnitSpeedup times as fast as the present one: its requests wait for the move
	// and for the queue at the present owner, and are served no better afterwards.
	hotUnitSpeedup = 1.5
	// unitCooldown is how long a unit stays after a move, so that its load is
	// first measured at the new owner.
	unitCooldown = 4 * time.Second
	// minServiceLoad is the load of a service, in requests per second, below which
	// its distribution is not significant.
	minServiceLoad = 20.0
	// emptyTargetShare is the fraction of a fair share of the load that a target
	// without keys gets at once. The rest follows once it is measured.
	emptyTargetShare = 0.7
	// maxRangeShare bounds the load of a range that moves as one, as a fraction of
	// a fair share.
	maxRangeShare = 0.15
	// Of the units of draining owners that still serve, one in drainBatchDivisor
	// moves at a time, and at least minDrainBatch. A move takes about 0.4 s, and
	// draining owners serve for 1.2 s after the drain is known.
	drainBatchDivisor = 2
	minDrainBatch     = 128
)

// rebalancer plans changes for one service, on a copy of its state.
type rebalancer struct {
	service     core.Service
	assignments *Assignments
	cloned      bool
	movedAt     *[Units]core.Instant
	now         core.Instant
	unitLoads   *[Units]float64
	totalLoad   float64
	candidates  []*candidate
	byID        map[core.Target]*candidate
	// limitHotUnits is set if a unit that no target can serve moves only to a much
	// faster target.
	limitHotUnits bool
}

// candidate is a target that may own units.
type candidate struct {
	holder Holder
	// capacity is the load that keeps all slots busy, in requests per second.
	capacity float64
	// serviceTime is the mean time of a request without queueing.
	serviceTime time.Duration
	load        float64
	units       int
	cold        bool
}

func (c *candidate) utilisation() float64 { return c.utilisationWith(0) }

// utilisationWith returns the utilisation with extra load.
func (c *candidate) utilisationWith(extra float64) float64 { return (c.load + extra) / c.capacity }

// owner returns the candidate that owns a unit, or nil.
func (r *rebalancer) owner(assignment Assignment) *candidate {
	c := r.byID[assignment.Owner.Target]
	if c == nil || c.holder.StartedAt != assignment.Owner.StartedAt {
		return nil
	}
	return c
}

// leastUtilised returns the candidate with the lowest utilisation.
func (r *rebalancer) leastUtilised() *candidate {
	best := r.candidates[0]
	for _, c := range r.candidates[1:] {
		if c.utilisation() < best.utilisation() {
			best = c
		}
	}
	return best
}

func (r *rebalancer) assignUnit(u int, c *candidate) change {
	c.load += r.unitLoads[u]
	c.units++
	return change{service: r.service, unit: u, assignment: Assignment{Owner: c.holder}}
}

// firstAssignment assigns all units in short ranges, so that neighbouring hot
// keys get different owners.
func (r *rebalancer) firstAssignment() []change {
	var out []change
	for u := 0; u < Units; u += maxRangeUnits {
		c := r.leastUtilised()
		for v := u; v < u+maxRangeUnits; v++ {
			out = append(out, r.assignUnit(v, c))
		}
	}
	return out
}

// reassignLost moves the units whose owner cannot keep them, in ranges with the
// same owner and a load of at most maxRangeShare. Units that are already moving
// are left out. Of the units whose owner still serves them, only a part moves at
// a time, as requests for a moving unit wait.
func (r *rebalancer) reassignLost(serving func(Holder) bool) []change {
	var out []change
	movingUnits, servedUnits := 0, 0
	for ar := range r.assignments.Ranges() {
		switch n := ar.To - ar.From + 1; {
		case ar.Assignment.Moving():
			movingUnits += n
		case r.owner(ar.Assignment) == nil && serving(ar.Assignment.Owner):
			servedUnits += n
		}
	}
	drainBudget := max(minDrainBatch, (movingUnits+servedUnits)/drainBatchDivisor) - movingUnits
	for ar := range r.assignments.Ranges() {
		assignment := ar.Assignment
		if assignment.Moving() || r.owner(assignment) != nil {
			continue
		}
		draining := serving(assignment.Owner)
		for u := ar.From; u <= ar.To; {
			if draining && drainBudget <= 0 {
				break
			}
			before := len(out)
			to := r.leastUtilised()
			maxLoad := maxRangeShare * r.meanUtilisation() * to.capacity
			var load float64
			for from := u; u <= ar.To && u < from+maxRangeUnits; u++ {
				if load += r.unitLoads[u]; u > from && load > maxLoad {
					break
				}
				n := r.assignUnit(u, to)
				n.assignment.Previous = assignment.Owner
				out = append(out, n)
			}
			if draining {
				drainBudget -= len(out) - before
			}
		}
	}
	return out
}

// fillEmptyTargets moves units to targets that own none.
func (r *rebalancer) fillEmptyTargets() []change {
	var out []change
	for _, c := range r.candidates {
		if c.units > 0 || c.cold {
			continue
		}
		want := emptyTargetShare * r.meanUtilisation() * c.capacity
		for len(out) < Units/len(r.candidates) && c.load < want {
			u := r.busiestUnit(r.mostUtilised(nil), want-c.load)
			if u < 0 {
				break
			}
			out = append(out, r.moveUnit(u, c))
		}
		if c.units == 0 {
			if u := r.busiestUnit(r.mostUtilised(nil), r.totalLoad); u >= 0 {
				out = append(out, r.moveUnit(u, c))
			}
		}
	}
	return out
}

// levelLoad moves runs of units from the most to the least utilised target. A
// target without a suitable run keeps its units, and the next one is considered.
func (r *rebalancer) levelLoad() []change {
	var out []change
	if r.totalLoad < minServiceLoad {
		return nil
	}
	mean := r.meanUtilisation()
	exhausted := make(map[*candidate]bool)
	for _, c := range r.candidates {
		if !c.overloaded(mean) {
			exhausted[c] = true
		}
	}
	movedLoad := 0.0
	var from *candidate
	for range maxMovesPerRound {
		// A target is relieved completely before the next one is considered: a
		// partial relief might hide in the variation of random arrivals.
		if from == nil || exhausted[from] || from.utilisation() < sourceUtilisationFactor*mean {
			from = r.mostUtilised(exhausted)
		}
		if from == nil || from.utilisation() < minSourceUtilisation || from.utilisation() < sourceUtilisationFactor*mean {
			break
		}
		units, to := r.pickMove(from, mean)
		if units.empty() {
			exhausted[from] = true
			continue
		}
		// The first run moves even if it has more load than a round may move.
		if movedLoad += units.load; movedLoad > maxLoadPerRound*r.totalLoad && len(out) > 0 {
			break
		}
		for u := units.from; u <= units.to; u++ {
			out = append(out, r.moveUnit(u, to))
		}
	}
	return out
}

// overloaded reports whether a target has more load than its capacity and random
// arrivals explain, given the mean utilisation of the targets.
func (c *candidate) overloaded(mean float64) bool {
	fair := mean * c.capacity
	// The variance of an exponentially weighted mean of Poisson counts.
	deviation := math.Sqrt(fair * loadSmoothing / (2 - loadSmoothing))
	return c.utilisation() >= minSourceUtilisation && c.load >= max(sourceUtilisationFactor*fair, fair+sourceDeviations*deviation)
}

// run is a run of neighbouring units of one owner.
type run struct {
	from, to int
	load     float64
}

func (r run) empty() bool { return r.to < r.from }

var noRun = run{from: 0, to: -1}

// pickMove returns the units that should leave a highly utilised target, and
// their new owner. A unit with more load than any target has room for moves only
// to a target that is much less utilised with it, as other units can then leave
// that target.
func (r *rebalancer) pickMove(from *candidate, mean float64) (run, *candidate) {
	if to := r.leastUtilisedWarm(nil, 0); to != nil && to.utilisation() <= mean {
		gap := min(from.load-mean*from.capacity, mean*to.capacity-to.load)
		if units := r.busiestRun(from, gap); !units.empty() {
			return units, to
		}
	}
	u := r.busiestUnit(from, r.totalLoad)
	if u < 0 || r.unitLoads[u] < hotUnitUtilisation*from.capacity {
		return noRun, nil
	}
	to := r.leastUtilisedWarm(from, r.unitLoads[u])
	if to == nil || to.utilisationWith(r.unitLoads[u]) > hotUnitUtilisationRatio*from.utilisation() {
		return noRun, nil
	}
	if r.limitHotUnits && r.unitLoads[u] > to.capacity && from.capacity*hotUnitSpeedup > to.capacity {
		return noRun, nil
	}
	return run{from: u, to: u, load: r.unitLoads[u]}, to
}

// busiestRun returns the run of a candidate's units with the highest load up to
// maxLoad. A run moves as one, so that one order moves as much load as possible.
func (r *rebalancer) busiestRun(c *candidate, maxLoad float64) run {
	best := noRun
	for ar := range r.assignments.Ranges() {
		if ar.Assignment.Moving() || r.owner(ar.Assignment) != c {
			continue
		}
		window := run{from: ar.From}
		for u := ar.From; u <= ar.To; u++ {
			if !r.cooledDown(u) {
				window = run{from: u + 1}
				continue
			}
			window.to = u
			window.load += r.unitLoads[u]
			for ; window.load > maxLoad && window.from <= u; window.from++ {
				window.load -= r.unitLoads[window.from]
			}
			if !window.empty() && window.load > best.load {
				best = window
			}
		}
	}
	return best
}

// cooledDown reports whether a unit has not moved recently.
func (r *rebalancer) cooledDown(u int) bool {
	return r.movedAt == nil || r.movedAt[u] == 0 || r.now.Sub(r.movedAt[u]) >= unitCooldown
}

func (r *rebalancer) moveUnit(u int, to *candidate) change {
	assignment := r.assignments.At(u)
	if c := r.owner(assignment); c != nil {
		c.load -= r.unitLoads[u]
		c.units--
	}
	n := r.assignUnit(u, to)
	n.assignment.Previous = assignment.Owner
	if !r.cloned {
		// The rebalancer's copy changes, so that the unit is not moved twice.
		r.assignments, r.cloned = r.assignments.Clone(), true
	}
	r.assignments.Set(u, n.assignment)
	return n
}

func (r *rebalancer) meanUtilisation() float64 {
	var load, capacity float64
	for _, c := range r.candidates {
		load += c.load
		capacity += c.capacity
	}
	return load / capacity
}

// mostUtilised returns the candidate with the highest utilisation, except for
// excluded ones.
func (r *rebalancer) mostUtilised(exclude map[*candidate]bool) *candidate {
	var best *candidate
	for _, c := range r.candidates {
		if !exclude[c] && (best == nil || c.utilisation() > best.utilisation()) {
			best = c
		}
	}
	return best
}

// leastUtilisedWarm returns the warm candidate with the lowest utilisation under
// extra load, except for an excluded one, or nil if there is none.
func (r *rebalancer) leastUtilisedWarm(exclude *candidate, extra float64) *candidate {
	var best *candidate
	for _, c := range r.candidates {
		if c != exclude && !c.cold && (best == nil || c.utilisationWith(extra) < best.utilisationWith(extra)) {
			best = c
		}
	}
	return best
}

// busiestUnit returns the unit of a candidate with the highest load up to
// maxLoad, or -1. Units that are moving or in their cooldown are left out.
func (r *rebalancer) busiestUnit(c *candidate, maxLoad float64) int {
	best := -1
	for ar := range r.assignments.Ranges() {
		if ar.Assignment.Moving() || r.owner(ar.Assignment) != c {
			continue
		}
		for u := ar.From; u <= ar.To; u++ {
			if r.cooledDown(u) && r.unitLoads[u] <= maxLoad && (best < 0 || r.unitLoads[u] > r.unitLoads[best]) {
				best = u
			}
		}
	}
	return best
}
