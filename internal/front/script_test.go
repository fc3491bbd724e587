package front

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/core"
)

// TestScenarios runs the scripts in testdata. The comment at the head of each
// says which failure it guards against.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{T: t}
			for n, line := range strings.Split(string(data), "\n") {
				line, _, _ = strings.Cut(line, "#")
				if fields := strings.Fields(line); len(fields) > 0 {
					s.at = fmt.Sprintf("%s:%d: %s", path, n+1, strings.TrimSpace(line))
					s.run(fields)
				}
			}
		})
	}
}

// script interprets a scenario. A line consists of a verb, words and key=value
// pairs.
type script struct {
	*testing.T
	at      string
	cluster *cluster
}

func (s *script) fail(format string, args ...any) {
	s.Helper()
	s.Fatalf("%s: %s", s.at, fmt.Sprintf(format, args...))
}

func split(fields []string) ([]string, map[string]string) {
	var words []string
	values := make(map[string]string)
	for _, f := range fields {
		if key, value, ok := strings.Cut(f, "="); ok {
			values[key] = value
		} else {
			words = append(words, f)
		}
	}
	return words, values
}

func (s *script) run(fields []string) {
	words, values := split(fields)
	arg := func(i int) string {
		if i >= len(words) {
			s.fail("word %d is missing", i)
		}
		return words[i]
	}
	switch words[0] {
	case "vms":
		s.cluster = newCluster(vms(strings.Join(words[1:], ","))...)
	case "assign":
		s.cluster.assignTo(core.VM(arg(1)), s.assignment(core.VM(arg(1)), values), vms(values["told"])...)
	case "take":
		s.cluster.renewGrant(core.VM(arg(1)))
	case "submit":
		s.submit(core.VM(arg(1)), arg(2), values)
	case "pass":
		s.cluster.advance(s.duration(arg(1)))
	case "repeat":
		// repeat COUNT HOW: runs COUNT requests one after the other.
		for i := range s.number(arg(1)) {
			name := fmt.Sprintf("%s-%d-%d", arg(2), s.cluster.now, i)
			s.submit(s.cluster.order[0], name, map[string]string{"class": "lookup"})
			s.cluster.advance(10 * time.Millisecond)
			s.end(name, arg(2))
			s.cluster.renewGrant(s.cluster.order[0])
		}
	case "end":
		s.end(arg(1), arg(2))
	case "crash":
		s.cluster.crash(core.VM(arg(1)))
	case "cut", "heal":
		s.cluster.vms[core.VM(arg(1))].disconnected = words[0] == "cut"
	case "restart-target":
		s.cluster.target.incarnation++
		s.cluster.target.running, s.cluster.target.leaseEnd = nil, 0
	case "expect":
		if got := s.state(arg(1)); got != arg(2) {
			s.fail("%s is %s", arg(1), got)
		}
	case "expect-runs":
		if got := strconv.Itoa(s.cluster.target.runCounts[core.RequestID(arg(1))]); got != arg(2) {
			s.fail("%s ran %s times", arg(1), got)
		}
	case "expect-running":
		if got := strconv.Itoa(len(s.cluster.target.running)); got != arg(1) {
			s.fail("%s requests run", got)
		}
	case "expect-drained":
		if got := strconv.FormatBool(s.cluster.drained[numberedRange(uint32(s.number(arg(1))))]); got != arg(2) {
			s.fail("drained is %s", got)
		}
	default:
		s.fail("unknown verb")
	}
}

func vms(list string) []core.VM {
	var out []core.VM
	for _, f := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		out = append(out, core.VM(f))
	}
	return out
}

func (s *script) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.fail("%v", err)
	}
	return n
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.fail("%v", err)
	}
	return d
}

func (s *script) assignment(front core.VM, values map[string]string) Assignment {
	old := s.cluster.assignments[front]
	a := Assignment{
		Service: service, Slots: 2, Limits: testLimits, Ranges: make(map[core.RangeID]Range),
		Token: core.Token{Term: 1, Seq: old.Token.Seq},
	}
	set := func(key string, apply func(string)) {
		if v, ok := values[key]; ok {
			apply(v)
		}
	}
	set("token", func(v string) { a.Token.Seq = uint64(s.number(v)) })
	set("slots", func(v string) { a.Slots = s.number(v) })
	set("cold", func(v string) { a.Limits.ColdSlots = s.number(v) })
	set("queue", func(v string) { a.Limits.QueueLength = s.number(v) })
	set("share", func(v string) { a.Limits.CallerShare, _ = strconv.ParseFloat(v, 64) })
	set("hold", func(v string) { a.Limits.HoldTime = s.duration(v) })
	a.Witnesses, a.Previous = vms(values["witnesses"]), vms(values["previous"])
	a.Leaving = values["leaving"] == "yes"
	for state, list := range map[bool]string{false: values["ranges"], true: values["moving"]} {
		for _, n := range vms(list) {
			a.Ranges[numberedRange(uint32(s.number(string(n))))] = Range{
				Moving: state, MemoryAt: vms(values["memory"]), First: values["first"] == "yes",
			}
		}
	}
	for _, n := range vms(values["hot"]) {
		a.Ranges[hotKeyRange(s.number(string(n)))] = Range{Base: numberedRange(0), MemoryAt: vms(values["memory"])}
	}
	return a
}

func hotKeyRange(n int) core.RangeID { return core.RangeID{Service: service, HotKey: uint64(n)} }

func (s *script) submit(to core.VM, name string, values map[string]string) {
	sub := &submission{name: name, request: core.Request{
		ID: core.RequestID(values["id"]), Service: service, Class: core.ClassBooking,
		Range: numberedRange(0), Caller: values["caller"], Digest: 1, Attempt: 1,
		Deadline: s.cluster.now.Add(time.Second), KeyHash: 7,
	}}
	if sub.request.ID == "" {
		sub.request.ID = core.RequestID(name)
	}
	if after, ok := values["made"]; ok {
		// The id is a UUIDv7 with a time this long after the current one.
		made := s.cluster.wall.Add(time.Duration(s.cluster.now)).Add(s.duration(after))
		sub.request.ID = idCreatedAt(made)
	}
	if v, ok := values["class"]; ok {
		class, err := core.ParseClass(v)
		if err != nil {
			s.fail("%v", err)
		}
		sub.request.Class = class
	}
	sub.request.Idempotent = sub.request.Class == core.ClassLookup
	if v, ok := values["range"]; ok {
		sub.request.Range = numberedRange(uint32(s.number(v)))
	}
	if v, ok := values["hot"]; ok {
		sub.request.Range = hotKeyRange(s.number(v))
	}
	if v, ok := values["deadline"]; ok {
		sub.request.Deadline = s.cluster.now.Add(s.duration(v))
	}
	if v, ok := values["body"]; ok {
		sub.request.Digest = uint64(s.number(v))
	}
	s.cluster.submit(s.cluster.vms[to], sub)
}

func idCreatedAt(made time.Time) core.RequestID {
	u := uuid.Must(uuid.NewV7())
	ms := made.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	return core.RequestID(u.String())
}

func (s *script) end(name, how string) {
	r := s.cluster.submissions[name].run
	if r == nil {
		s.fail("%s does not run", name)
	}
	switch how {
	case "answered":
		s.cluster.end(r, answeredResult(r.request))
	case "lost":
		s.cluster.end(r, Finished{Outcome: core.OutcomeUnknown})
	case "shed":
		s.cluster.target.runCounts[r.request.ID]--
		s.cluster.end(r, Finished{Outcome: core.OutcomeNotRun, Shed: true})
	case "slow":
		// The response comes late enough to count as slow.
		s.cluster.now = s.cluster.now.Add(200 * time.Millisecond)
		s.cluster.end(r, answeredResult(r.request))
	case "early":
		// The front's side lost the connection; the target keeps running the
		// request.
		r.finish(Finished{Outcome: core.OutcomeUnknown})
	default:
		s.fail("unknown end %q", how)
	}
}

// state returns what the caller of a submission sees at the current time.
func (s *script) state(name string) string {
	sub := s.cluster.submissions[name]
	switch {
	case sub == nil:
		s.fail("no submission %s", name)
	case sub.decision == nil:
		return "waiting"
	case sub.outcome == "":
		return "sent"
	}
	return string(sub.outcome)
}
