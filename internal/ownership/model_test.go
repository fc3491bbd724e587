package ownership

import (
	"testing"

	"github.com/matryer/is"
)

// The model checker explores every state of a small abstract deployment: one key,
// two targets, three VMs, and time in ticks. One VM assigns, another renews, and
// all reply to queries. VMs read the store at any time or never, releases may be
// lost, VMs may restart, and steps occur in any order. The rules are those of
// Assigner and Renewer.

const (
	modelVMs      = 3
	modelAssigner = 0
	modelRenewer  = 2
	// Durations in ticks.
	modelGrantDuration  = 1
	modelMaxLedgerAge   = 3
	modelQuorumValidity = 1
	modelMajorityWindow = 1
	// never is the age of an event that has not occurred. Ages from saturatedAge
	// on are equivalent, as no bound is longer.
	never        = 9
	saturatedAge = modelGrantDuration + max(modelMaxLedgerAge, modelQuorumValidity) + 1
	// maxStates bounds the memory of an exploration to about 600 MB.
	maxStates = 2_000_000
)

// modelParams are the parts of the bound after which the grants of an
// unresponsive holder have expired. Tests weaken each of them to show that the
// model checker finds the violation that it prevents.
type modelParams struct {
	quorumValidity, maxLedgerAge, grantDuration int8
	// waitForExpiry is set if a move's grant waits until the old grants have
	// expired.
	waitForExpiry bool
	// countRestarted is set if a restarted VM counts towards a majority before it
	// has read the ledger again.
	countRestarted bool
}

var correctParams = modelParams{quorumValidity: modelQuorumValidity, maxLedgerAge: modelMaxLedgerAge, grantDuration: modelGrantDuration, waitForExpiry: true}

type modelRecord struct {
	owner, previous int8
	moving          bool
}

type modelVM struct {
	applied int8
	// Ages are in ticks, at most never.
	ledgerAge, quorumAge int8
	sentAge              [2]int8
	caughtUp             bool
}

// modelMove is what the assigner knows of the move that it carries out.
type modelMove struct {
	offset                   int8 // 0 if there is no move
	released                 bool
	appliedAge               [modelVMs]int8
	grantsLeft               int8
	majorityAge, recordedAge int8
}

type modelTarget struct{ token, grantLeft int8 }

type modelState struct {
	log     [5]modelRecord
	end     int8
	vms     [modelVMs]modelVM
	pending modelMove
	targets [2]modelTarget
	// restarts and moves are how many may still occur.
	restarts, moves int8
}

// incAge increments an age up to the first value that exceeds bound.
func incAge(age, bound int8) int8 {
	if age == never {
		return never
	}
	return min(age+1, bound+1)
}

func decTicks(ticks int8) int8 { return max(ticks-1, 0) }

func initialState(moves, restarts int8) modelState {
	s := modelState{end: 1, moves: moves, restarts: restarts}
	s.log[0] = modelRecord{owner: 0}
	for i := range s.vms {
		s.vms[i] = modelVM{applied: 1, quorumAge: never, sentAge: [2]int8{never, never}, caughtUp: true}
	}
	s.targets[0] = modelTarget{token: 1, grantLeft: modelGrantDuration}
	s.vms[modelRenewer].sentAge[0] = 0
	return s
}

func (s modelState) tick() modelState {
	for i := range s.vms {
		v := &s.vms[i]
		if i == modelRenewer || i == modelAssigner { // other ages are not used
			v.ledgerAge, v.quorumAge = incAge(v.ledgerAge, modelMaxLedgerAge), incAge(v.quorumAge, modelQuorumValidity)
		}
		v.sentAge = [2]int8{incAge(v.sentAge[0], modelGrantDuration), incAge(v.sentAge[1], modelGrantDuration)}
	}
	if mv := &s.pending; mv.offset > 0 {
		for j := range mv.appliedAge {
			mv.appliedAge[j] = incAge(mv.appliedAge[j], modelMajorityWindow)
		}
		mv.grantsLeft, mv.majorityAge, mv.recordedAge = decTicks(mv.grantsLeft), incAge(mv.majorityAge, saturatedAge), incAge(mv.recordedAge, saturatedAge)
	}
	for i := range s.targets {
		s.targets[i].grantLeft = decTicks(s.targets[i].grantLeft)
	}
	return s
}

func (s modelState) mayRenew(v int) bool {
	return s.vms[v].ledgerAge <= modelMaxLedgerAge || s.vms[v].quorumAge <= modelQuorumValidity
}

// grant sends a grant to a target, which receives it at once.
func (s modelState) grant(v int, target, token int8) modelState {
	t := &s.targets[target]
	if token >= t.token {
		t.token, t.grantLeft = token, modelGrantDuration
	}
	s.vms[v].sentAge[target] = 0
	return s
}

func (s modelState) read(v int) modelState {
	s.vms[v].applied, s.vms[v].ledgerAge, s.vms[v].caughtUp = s.end, 0, true
	return s
}

func (s modelState) lastRecord(v int) (modelRecord, int8) {
	n := s.vms[v].applied
	return s.log[n-1], n
}

// checkQuorum succeeds if a majority has no newer records than the VM.
func (s modelState) checkQuorum(v int, p modelParams) (modelState, bool) {
	agreeing := 0
	for j := range s.vms {
		if s.vms[j].applied <= s.vms[v].applied && (s.vms[j].caughtUp || p.countRestarted) {
			agreeing++
		}
	}
	if !(s.vms[v].caughtUp || p.countRestarted) || 2*agreeing <= modelVMs {
		return s, false
	}
	s.vms[v].quorumAge = 0
	return s, true
}

func newModelMove(offset int8) modelMove {
	return modelMove{offset: offset, appliedAge: [modelVMs]int8{never, never, never}, majorityAge: never}
}

// appendMove appends a move of the key to the other target.
func (s modelState) appendMove() modelState {
	const v = modelAssigner
	r, _ := s.lastRecord(v)
	s.log[s.end] = modelRecord{owner: 1 - r.owner, previous: r.owner, moving: true}
	s.end++
	s.moves--
	s = s.read(v)
	s.pending = newModelMove(s.end)
	return s
}

// queryGrantExpiry queries a VM about the holder that keys are taken from.
func (s modelState) queryGrantExpiry(vm int) (modelState, bool) {
	mv := &s.pending
	if s.vms[vm].applied < mv.offset {
		return s, false
	}
	if mv.appliedAge[vm] == never {
		previous := s.log[mv.offset-1].previous
		mv.grantsLeft = max(mv.grantsLeft, modelGrantDuration-s.vms[vm].sentAge[previous])
	}
	mv.appliedAge[vm] = 0
	recent := 0
	for _, age := range mv.appliedAge {
		if age <= modelMajorityWindow {
			recent++
		}
	}
	if mv.majorityAge == never && 2*recent > modelVMs {
		mv.majorityAge = 0
	}
	return s, true
}

func (s modelState) grantsExpired(p modelParams) bool {
	mv := s.pending
	if mv.released {
		return true
	}
	all := true
	for _, age := range mv.appliedAge {
		all = all && age != never
	}
	if all && mv.grantsLeft == 0 {
		return true
	}
	// Ages are whole ticks, so a bound has passed once the age exceeds it.
	return mv.majorityAge != never && mv.majorityAge > p.quorumValidity+p.grantDuration && mv.recordedAge > p.maxLedgerAge+p.grantDuration
}

// successors calls visit with each possible next state.
func (s modelState) successors(p modelParams, visit func(modelState)) {
	visit(s.tick())
	for v := range s.vms {
		visit(s.read(v))
		if v == modelRenewer {
			if q, ok := s.checkQuorum(v, p); ok {
				visit(q)
			}
			if r, n := s.lastRecord(v); !r.moving && s.mayRenew(v) {
				visit(s.grant(v, r.owner, n))
			}
		}
		if s.restarts > 0 {
			x := s
			x.restarts--
			// Grants that an earlier process sent count from the restart.
			x.vms[v] = modelVM{applied: 1, ledgerAge: never, quorumAge: never} // sentAge is 0
			if v == modelAssigner {
				x.pending = modelMove{}
			}
			visit(x)
		}
	}
	s.assignerSteps(p, visit)
}

// assignerSteps calls visit with each possible step of the assigner, which acts
// only if it has read the whole ledger.
func (s modelState) assignerSteps(p modelParams, visit func(modelState)) {
	const v = modelAssigner
	r, n := s.lastRecord(v)
	if n != s.end || s.vms[v].ledgerAge > modelMaxLedgerAge {
		return
	}
	if !r.moving {
		if s.moves > 0 {
			visit(s.appendMove())
		}
		return
	}
	if s.pending.offset != n {
		x := s
		x.pending = newModelMove(n)
		visit(x)
		return
	}
	x := s // the release is received and confirmed
	x.pending.released = true
	t := &x.targets[r.previous]
	t.token, t.grantLeft = max(t.token, n), 0
	visit(x)
	for vm := range s.vms {
		if x, ok := s.queryGrantExpiry(vm); ok {
			visit(x)
		}
	}
	if s.grantsExpired(p) || !p.waitForExpiry {
		x := s.grant(v, r.owner, n)
		visit(x)
		x.log[x.end] = modelRecord{owner: r.owner}
		x.end++
		x = x.read(v)
		visit(x)
	}
}

// canonical clears fields that no longer have an effect, so that equivalent states
// are equal.
func (s modelState) canonical(p modelParams) modelState {
	switch mv := &s.pending; {
	case mv.offset == 0:
	case s.end > mv.offset:
		*mv = modelMove{} // another record follows the move
	case s.grantsExpired(p):
		*mv = modelMove{offset: mv.offset, released: true}
	}
	for v := range s.vms {
		if x := &s.vms[v]; x.caughtUp && s.restarts == 0 && v != modelRenewer && v != modelAssigner {
			x.ledgerAge, x.quorumAge = 0, 0
		}
	}
	return s
}

// explore returns the number of states visited, and the first state found in which
// both targets hold the key, if any.
func explore(initial modelState, p modelParams) (int, *modelState) {
	seen := map[modelState]bool{initial: true}
	queue := []modelState{initial}
	var violation *modelState
	for len(queue) > 0 && violation == nil && len(seen) < maxStates {
		s := queue[0]
		queue = queue[1:]
		s.successors(p, func(n modelState) {
			n = n.canonical(p)
			if seen[n] {
				return
			}
			seen[n] = true
			queue = append(queue, n)
			if n.targets[0].grantLeft > 0 && n.targets[1].grantLeft > 0 && violation == nil {
				violation = &n
			}
		})
	}
	return len(seen), violation
}

// TestModelHasSingleOwner guards against an order of reads, outages, lost releases
// and restarts, also of the assigner, in which two targets hold a key.
func TestModelHasSingleOwner(t *testing.T) {
	for name, initial := range map[string]modelState{
		"a move and a restart": initialState(1, 1),
		"two moves":            initialState(2, 0),
	} {
		t.Run(name, func(t *testing.T) {
			n, violation := explore(initial, correctParams)
			t.Logf("%d states", n)
			if violation != nil {
				t.Fatalf("two targets hold the key: %+v", *violation)
			}
			is.New(t).True(n < maxStates) // the exploration is complete
		})
	}
}

// TestModelNeedsEachWait guards against a model checker that finds no violations:
// without any one part of the wait, two targets can hold the key.
func TestModelNeedsEachWait(t *testing.T) {
	for name, p := range map[string]modelParams{
		"no wait for the last quorum check": {quorumValidity: -2 * modelGrantDuration, maxLedgerAge: modelMaxLedgerAge, grantDuration: modelGrantDuration, waitForExpiry: true},
		"no wait for the ledger age limit":  {quorumValidity: modelQuorumValidity, maxLedgerAge: -2 * modelGrantDuration, grantDuration: modelGrantDuration, waitForExpiry: true},
		"no wait for the grant duration":    {quorumValidity: modelQuorumValidity, maxLedgerAge: modelMaxLedgerAge, grantDuration: -modelGrantDuration, waitForExpiry: true},
		"restarted VMs count at once":       {quorumValidity: modelQuorumValidity, maxLedgerAge: modelMaxLedgerAge, grantDuration: modelGrantDuration, waitForExpiry: true, countRestarted: true},
		"grant at once":                     {quorumValidity: modelQuorumValidity, maxLedgerAge: modelMaxLedgerAge, grantDuration: modelGrantDuration},
	} {
		t.Run(name, func(t *testing.T) {
			_, violation := explore(initialState(1, 1), p)
			is.New(t).True(violation != nil)
		})
	}
}
