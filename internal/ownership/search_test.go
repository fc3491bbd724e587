package ownership

import (
	"testing"

	"github.com/matryer/is"
)

// The search visits every state of a small abstract deployment: one key, two
// targets, three VMs, and time in ticks. One VM assigns, another renews; all
// answer questions. VMs read the store when they like,
// or never; releases arrive or not; VMs restart; each step may come in any
// order. The rules are those of Assigner and Keeper.

const (
	searchVMs      = 3
	searchAssigner = 0
	searchKeeper   = 2
	// Durations in ticks.
	searchHold   = 1
	searchFresh  = 3
	searchQuorum = 1
	searchWindow = 1
	// never is an age without a beginning; ages from old on are all alike, as no
	// bound is longer.
	never = 9
	old   = searchHold + max(searchFresh, searchQuorum) + 1
	// maxStates bounds the memory of a search to some 600 MB.
	maxStates = 2_000_000
)

// waits are the parts of the bound after which a silent holder has ended. Tests
// shorten them to show that the search finds what they are for.
type waits struct {
	quorum, fresh, hold int8
	// writeFirst is set if a move is in the ledger before it is carried out.
	writeFirst bool
	// trustRestarted is set if a VM counts in a majority before it has read the
	// ledger again.
	trustRestarted bool
}

var fullWaits = waits{quorum: searchQuorum, fresh: searchFresh, hold: searchHold, writeFirst: true}

type searchRow struct {
	owner, previous int8
	moving          bool
}

type searchVM struct {
	applied int8
	// Ages in ticks, at most never.
	age, quorum int8
	sent        [2]int8
	remembers   bool
}

// searchLead is what an assigner knows of the move that it carries out.
type searchLead struct {
	offset   int8 // 0 is none
	released bool
	answered [searchVMs]int8
	heldLeft int8
	// majority and created are ages.
	majority, created int8
}

type searchTarget struct{ fence, hold int8 }

type searchState struct {
	log     [5]searchRow
	end     int8
	vms     [searchVMs]searchVM
	lead    searchLead
	targets [2]searchTarget
	// restarts and moves are how many may still happen.
	restarts, moves int8
}

// older counts an age up, as far as a bound of most ticks can tell.
func older(age, most int8) int8 {
	if age == never {
		return never
	}
	return min(age+1, most+1)
}

func lower(left int8) int8 { return max(left-1, 0) }

func firstState(moves, restarts int8) searchState {
	s := searchState{end: 1, moves: moves, restarts: restarts}
	s.log[0] = searchRow{owner: 0}
	for i := range s.vms {
		s.vms[i] = searchVM{applied: 1, quorum: never, sent: [2]int8{never, never}, remembers: true}
	}
	s.targets[0] = searchTarget{fence: 1, hold: searchHold}
	s.vms[searchKeeper].sent[0] = 0
	return s
}

func (s searchState) tick() searchState {
	for i := range s.vms {
		v := &s.vms[i]
		if i == searchKeeper || i == searchAssigner { // nobody uses other ages
			v.age, v.quorum = older(v.age, searchFresh), older(v.quorum, searchQuorum)
		}
		v.sent = [2]int8{older(v.sent[0], searchHold), older(v.sent[1], searchHold)}
	}
	if l := &s.lead; l.offset > 0 {
		for j := range l.answered {
			l.answered[j] = older(l.answered[j], searchWindow)
		}
		l.heldLeft, l.majority, l.created = lower(l.heldLeft), older(l.majority, old), older(l.created, old)
	}
	for i := range s.targets {
		s.targets[i].hold = lower(s.targets[i].hold)
	}
	return s
}

func (s searchState) mayRenew(v int) bool {
	return s.vms[v].age <= searchFresh || s.vms[v].quorum <= searchQuorum
}

// grant reaches the target at once, if it takes the token.
func (s searchState) grant(v int, target, fence int8) searchState {
	t := &s.targets[target]
	if fence >= t.fence {
		t.fence, t.hold = fence, searchHold
	}
	s.vms[v].sent[target] = 0
	return s
}

func (s searchState) read(v int) searchState {
	s.vms[v].applied, s.vms[v].age, s.vms[v].remembers = s.end, 0, true
	return s
}

func (s searchState) row(v int) (searchRow, int8) {
	n := s.vms[v].applied
	return s.log[n-1], n
}

// askQuorum succeeds if a majority has nothing newer than the VM.
func (s searchState) askQuorum(v int, w waits) (searchState, bool) {
	same := 0
	for j := range s.vms {
		if s.vms[j].applied <= s.vms[v].applied && (s.vms[j].remembers || w.trustRestarted) {
			same++
		}
	}
	if !(s.vms[v].remembers || w.trustRestarted) || 2*same <= searchVMs {
		return s, false
	}
	s.vms[v].quorum = 0
	return s, true
}

func newLead(offset int8) searchLead {
	return searchLead{offset: offset, answered: [searchVMs]int8{never, never, never}, majority: never}
}

// move appends that the key goes to the other target.
func (s searchState) move() searchState {
	const v = searchAssigner
	r, _ := s.row(v)
	s.log[s.end] = searchRow{owner: 1 - r.owner, previous: r.owner, moving: true}
	s.end++
	s.moves--
	s = s.read(v)
	s.lead = newLead(s.end)
	return s
}

// settle asks a VM about the holder that keys are taken from.
func (s searchState) settle(of int) (searchState, bool) {
	l := &s.lead
	if s.vms[of].applied < l.offset {
		return s, false
	}
	if l.answered[of] == never {
		previous := s.log[l.offset-1].previous
		l.heldLeft = max(l.heldLeft, searchHold-s.vms[of].sent[previous])
	}
	l.answered[of] = 0
	recent := 0
	for _, age := range l.answered {
		if age <= searchWindow {
			recent++
		}
	}
	if l.majority == never && 2*recent > searchVMs {
		l.majority = 0
	}
	return s, true
}

func (s searchState) ended(w waits) bool {
	l := s.lead
	if l.released {
		return true
	}
	all := true
	for _, age := range l.answered {
		all = all && age != never
	}
	if all && l.heldLeft == 0 {
		return true
	}
	// Ages are counted in whole ticks, so a bound is over once it is exceeded.
	return l.majority != never && l.majority > w.quorum+w.hold && l.created > w.fresh+w.hold
}

// next calls visit with each state that can follow.
func (s searchState) next(w waits, visit func(searchState)) {
	visit(s.tick())
	for v := range s.vms {
		visit(s.read(v))
		if v == searchKeeper {
			if q, ok := s.askQuorum(v, w); ok {
				visit(q)
			}
			if r, n := s.row(v); !r.moving && s.mayRenew(v) {
				visit(s.grant(v, r.owner, n))
			}
		}
		if s.restarts > 0 {
			x := s
			x.restarts--
			// What a process renewed before is counted from its start.
			x.vms[v] = searchVM{applied: 1, age: never, quorum: never} // sent: now
			if v == searchAssigner {
				x.lead = searchLead{}
			}
			visit(x)
		}
	}
	s.assign(w, visit)
}

// assign calls visit with what the assigner may do. It appends only if it has
// read the whole ledger.
func (s searchState) assign(w waits, visit func(searchState)) {
	const v = searchAssigner
	r, n := s.row(v)
	if n != s.end || s.vms[v].age > searchFresh {
		return
	}
	if !r.moving {
		if s.moves > 0 {
			visit(s.move())
		}
		return
	}
	if s.lead.offset != n {
		x := s
		x.lead = newLead(n)
		visit(x)
		return
	}
	x := s // the release arrives and is answered
	x.lead.released = true
	t := &x.targets[r.previous]
	t.fence, t.hold = max(t.fence, n), 0
	visit(x)
	for of := range s.vms {
		if x, ok := s.settle(of); ok {
			visit(x)
		}
	}
	if s.ended(w) || !w.writeFirst {
		x := s.grant(v, r.owner, n)
		visit(x)
		x.log[x.end] = searchRow{owner: r.owner}
		x.end++
		x = x.read(v)
		visit(x)
	}
}

// plain drops what no longer decides anything, so that alike states are one.
func (s searchState) plain(w waits) searchState {
	switch l := &s.lead; {
	case l.offset == 0:
	case s.end > l.offset:
		*l = searchLead{} // another record follows the move
	case s.ended(w):
		*l = searchLead{offset: l.offset, released: true}
	}
	for v := range s.vms {
		if x := &s.vms[v]; x.remembers && s.restarts == 0 && v != searchKeeper && v != searchAssigner {
			x.age, x.quorum = 0, 0
		}
	}
	return s
}

// search returns how many states there are, and the first in which both targets
// hold the key.
func search(first searchState, w waits) (int, *searchState) {
	seen := map[searchState]bool{first: true}
	queue := []searchState{first}
	var bad *searchState
	for len(queue) > 0 && bad == nil && len(seen) < maxStates {
		s := queue[0]
		queue = queue[1:]
		s.next(w, func(n searchState) {
			n = n.plain(w)
			if seen[n] {
				return
			}
			seen[n] = true
			queue = append(queue, n)
			if n.targets[0].hold > 0 && n.targets[1].hold > 0 && bad == nil {
				bad = &n
			}
		})
	}
	return len(seen), bad
}

// Guards against an order of reads, outages, lost releases, restarts and changes
// of the assigner in which two targets hold a key.
func TestSearchFindsOneOwner(t *testing.T) {
	for name, first := range map[string]searchState{
		"a move and a restart": firstState(1, 1),
		"two moves":            firstState(2, 0),
	} {
		t.Run(name, func(t *testing.T) {
			n, bad := search(first, fullWaits)
			t.Logf("%d states", n)
			if bad != nil {
				t.Fatalf("two targets hold the key: %+v", *bad)
			}
			is.New(t).True(n < maxStates) // the search is complete
		})
	}
}

// Guards against a search that finds nothing: each part of the wait is needed.
func TestSearchNeedsEachWait(t *testing.T) {
	for name, w := range map[string]waits{
		"no wait for the last word of a majority": {quorum: -2 * searchHold, fresh: searchFresh, hold: searchHold, writeFirst: true},
		"no wait for a ledger to grow old":        {quorum: searchQuorum, fresh: -2 * searchHold, hold: searchHold, writeFirst: true},
		"no wait for the hold":                    {quorum: searchQuorum, fresh: searchFresh, hold: -searchHold, writeFirst: true},
		"restarted VMs count at once":             {quorum: searchQuorum, fresh: searchFresh, hold: searchHold, writeFirst: true, trustRestarted: true},
		"grant at once":                           {quorum: searchQuorum, fresh: searchFresh, hold: searchHold},
	} {
		t.Run(name, func(t *testing.T) {
			_, bad := search(firstState(1, 1), w)
			is.New(t).True(bad != nil)
		})
	}
}
