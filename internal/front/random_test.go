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
// one: the default of 100 finds few faults that need two changes of the front.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", "1000")
	}
	os.Exit(m.Run())
}

// schedule is a random run of a world: it plays the callers, the coordinator,
// the network and the failures. Rapid prints the seed of a failing run.
type schedule struct {
	*rapid.T
	w         *world
	seq       uint64
	front     core.VM
	witnesses []core.VM
	count     int
}

// TestRandomSchedules guards against a non-idempotent request that runs twice,
// a "not run" for one that ran, an answer after the deadline, and a target with
// more requests than slots, over random losses of VMs and messages, delays,
// changes of the front, repeats and target restarts.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{T: t, w: newWorld("a", "b", "c", "d")}
		s.w.remember = 3 * time.Second
		s.begin()
		for range rapid.IntRange(10, maxSteps).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action").do(s)
			s.check()
		}
		s.settle()
	})
}

// maxSteps is enough for two or three changes of the front in one schedule.
const maxSteps = 80

type action struct {
	name string
	do   func(*schedule)
}

func (a action) String() string { return a.name }

// actions are listed as often as they are to be chosen.
var actions = []action{
	{"submit", (*schedule).submit},
	{"submit", (*schedule).submit},
	{"submit", (*schedule).submit},
	{"submit", (*schedule).submit},
	{"deliver", (*schedule).deliver},
	{"deliver", (*schedule).deliver},
	{"deliver", (*schedule).deliver},
	{"deliver all", func(s *schedule) { s.w.flush() }},
	{"deliver all", func(s *schedule) { s.w.flush() }},
	{"drop", (*schedule).drop},
	{"pass", (*schedule).pass},
	{"pass", (*schedule).pass},
	{"end", (*schedule).end},
	{"end", (*schedule).end},
	{"change", (*schedule).change},
	{"take", func(s *schedule) { s.w.take(s.vm()) }},
	{"renew", func(s *schedule) { s.w.take(s.front) }},
	{"renew", func(s *schedule) { s.w.take(s.front) }},
	{"crash", (*schedule).crash},
}

// begin starts after the gap of the first front, with complete witnesses.
func (s *schedule) begin() {
	s.change()
	s.w.take(s.front)
	s.w.pass(s.w.remember + time.Second)
	s.w.take(s.front)
	s.w.pass(TickEvery)
	s.w.manual = true
}

func (s *schedule) pass() {
	ms := rapid.SampledFrom([]time.Duration{5, 25, 100, 400}).Draw(s.T, "ms")
	s.w.pass(ms * time.Millisecond)
	if rapid.Bool().Draw(s.T, "renewed") {
		s.w.take(s.front)
	}
}

func (s *schedule) vm() core.VM { return rapid.SampledFrom(s.w.order).Draw(s.T, "vm") }

func (s *schedule) submit() {
	s.count++
	sub := &submission{name: fmt.Sprintf("s%d", s.count), request: core.Request{
		ID: core.RequestID(fmt.Sprintf("id%d", rapid.IntRange(0, 5).Draw(s.T, "id"))), Service: service,
		Class: core.ClassBooking, Range: rangeNumber(uint32(rapid.IntRange(0, 1).Draw(s.T, "range"))),
		Caller: "u", Digest: 1, Attempt: uint32(s.count),
		Deadline: s.w.now.Add(rapid.SampledFrom([]time.Duration{100, 500, 2000}).Draw(s.T, "deadline ms") * time.Millisecond),
	}}
	// An id belongs to one key and so to one range.
	sub.request.Range = rangeNumber(uint32(sub.request.ID[2]-'0') % 2)
	if rapid.IntRange(0, 3).Draw(s.T, "made") == 0 {
		sub.request.ID = idMadeAt(s.w.wall.Add(time.Duration(s.w.now)))
	}
	to := s.front
	if rapid.IntRange(0, 4).Draw(s.T, "elsewhere") == 0 {
		to = s.vm()
	}
	s.w.submit(s.w.vms[to], sub)
}

// take removes one packet in transit, at random.
func (s *schedule) packet() (packet, bool) {
	if len(s.w.transit) == 0 {
		return packet{}, false
	}
	i := rapid.IntRange(0, min(len(s.w.transit)-1, 3)).Draw(s.T, "packet")
	p := s.w.transit[i]
	s.w.transit = append(s.w.transit[:i:i], s.w.transit[i+1:]...)
	return p, true
}

func (s *schedule) deliver() {
	if p, ok := s.packet(); ok {
		p.deliver()
	}
}

func (s *schedule) drop() {
	if p, ok := s.packet(); ok {
		p.drop()
	}
}

func (s *schedule) end() {
	running := s.w.target.running
	if len(running) == 0 {
		return
	}
	r := running[rapid.IntRange(0, len(running)-1).Draw(s.T, "run")]
	if rapid.Bool().Draw(s.T, "response lost") {
		s.w.end(r, Finished{Outcome: core.OutcomeUnknown})
		return
	}
	s.w.end(r, answeredRun(r.request))
}

// change gives the target to another front, or changes the witnesses of the
// present one. As docs/design.md section 4 has it, the map names the front and
// witnesses before, and not every VM hears of it.
func (s *schedule) change() {
	s.seq++
	a := Assignment{
		Service: service, Slots: 2, Limits: testLimits, Token: core.Token{Term: 1, Seq: s.seq},
		Ranges: map[core.RangeID]Range{rangeNumber(0): {}, rangeNumber(1): {}},
	}
	a.Limits.ColdSlots = 2
	next := s.vm()
	a.PreviousSince = core.Token{Term: 1, Seq: s.seq - 1}
	if s.front != "" {
		a.Previous = append([]core.VM{s.front}, s.witnesses...)
	}
	a.Witnesses = nil
	for _, id := range s.w.order {
		if id != next && len(a.Witnesses) < 1 && rapid.Bool().Draw(s.T, "witness") {
			a.Witnesses = append(a.Witnesses, id)
		}
	}
	told := []core.VM{next}
	for _, id := range s.w.order {
		if id != next && rapid.Bool().Draw(s.T, "told") {
			told = append(told, id)
		}
	}
	s.front, s.witnesses = next, a.Witnesses
	s.w.assignTo(next, a, told...)
	if rapid.IntRange(0, 3).Draw(s.T, "taken") > 0 {
		s.w.take(next)
	}
}

// crash loses a VM with its memory; another takes its id.
func (s *schedule) crash() {
	id := s.vm()
	s.w.crash(id)
	if id == s.front {
		s.change()
	}
}

func (s *schedule) check() {
	if id := s.w.target.twice; id != "" {
		s.Fatalf("%s ran again within the remember time", id)
	}
	if s.w.target.most > 2 {
		s.Fatalf("%d requests ran in 2 slots", s.w.target.most)
	}
	for _, sub := range s.w.sequence {
		if sub.run != nil && sub.outcome.NotRun() {
			s.Fatalf("%s (%s) ran and was answered %s", sub.name, sub.request.ID, sub.outcome)
		}
	}
}

// settle delivers all that is in transit and checks that every submission to a
// front that still lives was answered in time.
func (s *schedule) settle() {
	s.w.manual = false
	s.w.flush()
	s.w.pass(3 * time.Second)
	s.check()
	for _, sub := range s.w.sequence {
		if sub.decision == nil && s.w.vms[sub.to].life == sub.life {
			s.Fatalf("%s was not answered", sub.name)
		}
		if sub.decision != nil && sub.answered.After(sub.request.Deadline) {
			s.Fatalf("%s was answered %v after its deadline", sub.name, sub.answered.Sub(sub.request.Deadline))
		}
	}
}
