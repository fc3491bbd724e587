package front

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhook.example/celeryhook/internal/core"
)

// TestMain raises rapid's number of schedules, unless the command line gives
// one: the default of 100 rarely finds errors that need two changes of the front.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", "1000")
	}
	os.Exit(m.Run())
}

// randomRun drives a cluster with random requests, reassignments, message
// deliveries and failures. Rapid prints the seed of a failing run.
type randomRun struct {
	*rapid.T
	cluster   *cluster
	seq       uint64
	front     core.VM
	witnesses []core.VM
	count     int
}

// TestRandomSchedules guards against a non-idempotent request that runs twice,
// a not-run outcome for one that ran, an answer after the deadline, and a target
// with more requests than slots. The runs contain crashes of VMs, lost and
// delayed messages, reassignments of the target and duplicates.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &randomRun{T: t, cluster: newCluster("a", "b", "c", "d")}
		s.cluster.retention = 3 * time.Second
		s.start()
		for range rapid.IntRange(10, maxSteps).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action").do(s)
			s.check()
		}
		s.finishRun()
	})
}

// maxSteps is enough for two or three changes of the front in one schedule.
const maxSteps = 80

type action struct {
	name string
	do   func(*randomRun)
}

func (a action) String() string { return a.name }

// actions lists an action several times to make it more likely.
var actions = []action{
	{"submit", (*randomRun).submit},
	{"submit", (*randomRun).submit},
	{"submit", (*randomRun).submit},
	{"submit", (*randomRun).submit},
	{"deliver", (*randomRun).deliver},
	{"deliver", (*randomRun).deliver},
	{"deliver", (*randomRun).deliver},
	{"deliver all", func(s *randomRun) { s.cluster.deliverAll() }},
	{"deliver all", func(s *randomRun) { s.cluster.deliverAll() }},
	{"drop", (*randomRun).drop},
	{"pass", (*randomRun).advance},
	{"pass", (*randomRun).advance},
	{"end", (*randomRun).end},
	{"end", (*randomRun).end},
	{"change", (*randomRun).reassign},
	{"take", func(s *randomRun) { s.cluster.renewGrant(s.vm()) }},
	{"renew", func(s *randomRun) { s.cluster.renewGrant(s.front) }},
	{"renew", func(s *randomRun) { s.cluster.renewGrant(s.front) }},
	{"crash", (*randomRun).crash},
}

// start brings the cluster to the state after the first front's gap, with a
// complete replica at each witness.
func (s *randomRun) start() {
	s.reassign()
	s.cluster.renewGrant(s.front)
	s.cluster.advance(s.cluster.retention + time.Second)
	s.cluster.renewGrant(s.front)
	s.cluster.advance(TickInterval)
	s.cluster.manualDelivery = true
}

func (s *randomRun) advance() {
	ms := rapid.SampledFrom([]time.Duration{5, 25, 100, 400}).Draw(s.T, "ms")
	s.cluster.advance(ms * time.Millisecond)
	if rapid.Bool().Draw(s.T, "renewed") {
		s.cluster.renewGrant(s.front)
	}
}

func (s *randomRun) vm() core.VM { return rapid.SampledFrom(s.cluster.order).Draw(s.T, "vm") }

func (s *randomRun) submit() {
	s.count++
	sub := &submission{name: fmt.Sprintf("s%d", s.count), request: core.Request{
		ID: core.RequestID(fmt.Sprintf("id%d", rapid.IntRange(0, 5).Draw(s.T, "id"))), Service: service,
		Class: core.ClassBooking, Range: numberedRange(uint32(rapid.IntRange(0, 1).Draw(s.T, "range"))),
		Caller: "u", Digest: 1, Attempt: uint32(s.count),
		Deadline: s.cluster.now.Add(rapid.SampledFrom([]time.Duration{100, 500, 2000}).Draw(s.T, "deadline ms") * time.Millisecond),
	}}
	// An id belongs to one key and so to one range.
	sub.request.Range = numberedRange(uint32(sub.request.ID[2]-'0') % 2)
	if rapid.IntRange(0, 3).Draw(s.T, "made") == 0 {
		sub.request.ID = idCreatedAt(s.cluster.wall.Add(time.Duration(s.cluster.now)))
	}
	to := s.front
	if rapid.IntRange(0, 4).Draw(s.T, "elsewhere") == 0 {
		to = s.vm()
	}
	s.cluster.submit(s.cluster.vms[to], sub)
}

// takeMessage removes one of the first four messages in transit, at random.
func (s *randomRun) takeMessage() (message, bool) {
	if len(s.cluster.inTransit) == 0 {
		return message{}, false
	}
	i := rapid.IntRange(0, min(len(s.cluster.inTransit)-1, 3)).Draw(s.T, "packet")
	m := s.cluster.inTransit[i]
	s.cluster.inTransit = append(s.cluster.inTransit[:i:i], s.cluster.inTransit[i+1:]...)
	return m, true
}

func (s *randomRun) deliver() {
	if m, ok := s.takeMessage(); ok {
		m.deliver()
	}
}

func (s *randomRun) drop() {
	if m, ok := s.takeMessage(); ok {
		m.drop()
	}
}

func (s *randomRun) end() {
	running := s.cluster.target.running
	if len(running) == 0 {
		return
	}
	r := running[rapid.IntRange(0, len(running)-1).Draw(s.T, "run")]
	if rapid.Bool().Draw(s.T, "response lost") {
		s.cluster.end(r, Finished{Outcome: core.OutcomeUnknown})
		return
	}
	s.cluster.end(r, answeredResult(r.request))
}

// reassign assigns the target to another front, or changes the witnesses of the
// current one. As specified in docs/design.md section 4, the map names the
// previous front and witnesses, and not every VM receives it.
func (s *randomRun) reassign() {
	s.seq++
	a := Assignment{
		Service: service, Slots: 2, Limits: testLimits, Token: core.Token{Term: 1, Seq: s.seq},
		Ranges: map[core.RangeID]Range{numberedRange(0): {}, numberedRange(1): {}},
	}
	a.Limits.ColdSlots = 2
	next := s.vm()
	a.PreviousSince = core.Token{Term: 1, Seq: s.seq - 1}
	if s.front != "" {
		a.Previous = append([]core.VM{s.front}, s.witnesses...)
	}
	a.Witnesses = nil
	for _, id := range s.cluster.order {
		if id != next && len(a.Witnesses) < 1 && rapid.Bool().Draw(s.T, "witness") {
			a.Witnesses = append(a.Witnesses, id)
		}
	}
	notified := []core.VM{next}
	for _, id := range s.cluster.order {
		if id != next && rapid.Bool().Draw(s.T, "told") {
			notified = append(notified, id)
		}
	}
	s.front, s.witnesses = next, a.Witnesses
	s.cluster.assignTo(next, a, notified...)
	if rapid.IntRange(0, 3).Draw(s.T, "taken") > 0 {
		s.cluster.renewGrant(next)
	}
}

// crash replaces a VM by one with the same id and no state.
func (s *randomRun) crash() {
	id := s.vm()
	s.cluster.crash(id)
	if id == s.front {
		s.reassign()
	}
}

func (s *randomRun) check() {
	if id := s.cluster.target.rerunID; id != "" {
		s.Fatalf("%s ran again within the retention period", id)
	}
	if s.cluster.target.maxRunning > 2 {
		s.Fatalf("%d requests ran in 2 slots", s.cluster.target.maxRunning)
	}
	for _, sub := range s.cluster.submissionOrder {
		if sub.run != nil && sub.outcome.NotRun() {
			s.Fatalf("%s (%s) ran and was answered %s", sub.name, sub.request.ID, sub.outcome)
		}
	}
}

// finishRun delivers all messages in transit and checks that every submission to
// a front that has not crashed since was answered by its deadline.
func (s *randomRun) finishRun() {
	s.cluster.manualDelivery = false
	s.cluster.deliverAll()
	s.cluster.advance(3 * time.Second)
	s.check()
	for _, sub := range s.cluster.submissionOrder {
		if sub.decision == nil && s.cluster.vms[sub.to].generation == sub.generation {
			s.Fatalf("%s was not answered", sub.name)
		}
		if sub.decision != nil && sub.answered.After(sub.request.Deadline) {
			s.Fatalf("%s was answered %v after its deadline", sub.name, sub.answered.Sub(sub.request.Deadline))
		}
	}
}
