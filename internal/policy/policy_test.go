package policy

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"celeryhook.example/celeryhook/internal/core"
)

const sample = `
[deployment]
name = sample
failure_domains = north, south

[control]
witnesses = 2

[service slots]
division = key
timeout = 500ms

[service ledger]

[target slots-1]
service = slots
failure_domain = north
address = 127.0.0.1:7001
slots = 6

[target ledger-1]
service = ledger
failure_domain = south
address = [::1]:7002
speed = 1.5
checks_grants = no

[route slot]
path = /slots/{slot}
service = slots
key = path:slot

[route book]
method = POST
path = /slots/{slot}/bookings
service = slots
class = booking
key = path:slot
missing_id = refuse

[route entries]
path = /entries
service = ledger

[deviation]
slots.timeout = 200ms .. 2s
ledger.retry_budget = 0 .. 0.2

[branch harbour]
slots.timeout = 800ms
ledger.retry_budget = 0
`

// edit returns the sample with a text replaced, which must occur in it.
func edit(t *testing.T, old, now string) []byte {
	t.Helper()
	if strings.Count(sample, old) < 1 {
		t.Fatalf("the sample has no %q", old)
	}
	return []byte(strings.Replace(sample, old, now, 1))
}

// Guards against values of a valid document that get lost, and against missing
// defaults.
func TestParse(t *testing.T) {
	is := is.New(t)
	p, err := Parse([]byte(sample))
	is.NoErr(err)
	is.Equal(p.FailureDomains, []core.FailureDomain{"north", "south"})
	is.Equal(p.Control.Witnesses, 2)
	is.Equal(p.Control.Candidates, 2)
	is.Equal(p.Services["slots"].Ranges, uint32(240))
	is.Equal(p.Targets["ledger-1"].Capacity(), 1.5)
	is.Equal(p.Targets["ledger-1"].ChecksGrants, false)
	is.Equal(p.LimitsFor("slots", "harbour").Timeout, 800*time.Millisecond)
	is.Equal(p.LimitsFor("slots", "elsewhere").Timeout, 500*time.Millisecond)
	is.Equal(p.LimitsFor("ledger", "harbour").RetryBudget, 0.0)
	is.Equal(p.LimitsFor("ledger", "harbour").Timeout, time.Second)
	is.Equal(p.DomainCapacity("slots", "north"), 6.0)
	is.Equal(p.DomainCapacity("slots", "south"), 0.0)
}

// Guards against mistakes that are replaced by a default without an error: each
// must be reported with its section and key.
func TestIssues(t *testing.T) {
	for _, c := range []struct{ old, now, want string }{
		{"[control]", "[controls]", "[controls]: unknown section"},
		{"[control]", "[control x]", "[control x]: unknown section"},
		{"[service slots]", "[service slots]\n[service slots]", "[service slots]: section is given more than once"},
		{"[service slots]", "[service a b]", "[service a b]: name"},
		{"\n[deployment]", "stray = 1\n[deployment]", "[DEFAULT] stray: stands outside"},
		{"name = sample", "name = sample\nname = sample", "[deployment] name: is given 2 times"},
		{"name = sample", "", "[deployment] name: is missing"},
		{"north, south", "north, north", "[deployment] failure_domains: \"north\" is listed more than once"},
		{"north, south", "north,", "[deployment] failure_domains: name \"\""},
		{"witnesses = 2", "witnesses = two", "[control] witnesses: \"two\" is not a whole number"},
		{"witnesses = 2", "witnesses = 5", "[control] witnesses: 5 is outside of 0 .. 4"},
		{"witnesses = 2", "witnesses =", "[control] witnesses: \"\" is not a whole number"},
		{"witnesses = 2", "remember = 10", "[control] remember: \"10\" is not a duration"},
		{"witnesses = 2", "hot_share = NaN", "[control] hot_share: \"NaN\" is not a decimal"},
		{"witnesses = 2", "witness = 2", "[control] witness: unknown key"},
		{"division = key", "division = keys", "[service slots] division: \"keys\" isn't one of"},
		{"division = key", "division =", "[service slots] division: is empty"},
		{"division = key", "division = none", "[route slot] key: service \"slots\" isn't divided by key"},
		{"timeout = 500ms", "timeout = 1ms", "[service slots] timeout: 1ms is outside of 10ms .. 20s"},
		{"timeout = 500ms", "cold_slots = 7", "[target slots-1] slots: 6 is less than the 7 cold_slots"},
		{"slots = 6", "slots = 61", "[target slots-1] connections: 60 is less than the 61 slots"},
		{"service = slots", "service = slot", "[target slots-1] service: there is no section [service slot]"},
		{"service = slots", "", "[target slots-1] service: is missing"},
		{"failure_domain = north", "failure_domain = east", "[target slots-1] failure_domain: \"east\" isn't in"},
		{"127.0.0.1:7001", "localhost:7001", "[target slots-1] address: \"localhost:7001\" isn't an IP address"},
		{"127.0.0.1:7001", "127.0.0.1:0", "[target slots-1] address: \"127.0.0.1:0\" has port 0"},
		{"127.0.0.1:7001", "0.0.0.0:7001", "[target slots-1] address: \"0.0.0.0:7001\" isn't the address of one host"},
		{"127.0.0.1:7001", "[0::1]:7002", "[target slots-1] address: [::1]:7002 is also the address of target \"ledger-1\""},
		{"checks_grants = no", "checks_grants = never", "[target ledger-1] checks_grants: \"never\" isn't one of"},
		{"path = /entries\nservice = ledger", "path = /entries\nservice = slots", "[service ledger]: no route leads to it"},
		{"failure_domain = south\n", "failure_domain = south\nservice = slots\n", "[target ledger-1] service: is given 2 times"},
		{"[service ledger]", "[service ledger]\n[service spare]", "[service spare]: no target serves it"},
		{"key = path:slot", "", "[route slot] key: is missing; service \"slots\" is divided by key"},
		{"key = path:slot", "key = path:id", "[route slot] key: path \"/slots/{slot}\" has no segment {id}"},
		{"key = path:slot", "key = cookie:slot", "[route slot] key: \"cookie:slot\" has not the form"},
		{"method = POST", "method = HEAD", "[route book] method: HEAD is for idempotent requests"},
		{"class = booking", "class = booking\nidempotent = yes", "[route book] idempotent: a booking runs at most once"},
		{"class = booking", "class = urgent", "[route book] class: \"urgent\" isn't one of"},
		{"path = /entries", "path = entries", "[route entries] path: \"entries\" doesn't start with a slash"},
		{"path = /entries", "path = /a/*rest", "[route entries] path: \"/a/*rest\" has the segment"},
		{"path = /entries", "path = /{a}/{a}", "[route entries] path: \"/{a}/{a}\" has parameter {a} more than once"},
		{"path = /entries", "path = /slots/{id}", "[route slot] path: parameter {slot} stands where route \"entries\" has {id}"},
		{"path = /entries", "path = /slots/{slot}", "[route slot] path: route \"entries\" has the same method and path"},
		{"slots.timeout = 200ms .. 2s", "slots.timeout = 2s", "[deviation] slots.timeout: \"2s\" has not the form MIN .. MAX"},
		{"slots.timeout = 200ms .. 2s", "slots.timeout = 2s .. 1s", "[deviation] slots.timeout: \"2s .. 1s\" has a minimum above"},
		{"slots.timeout = 200ms .. 2s", "slots.timeout = 1ms .. 1s", "[deviation] slots.timeout: 1ms is outside of 10ms"},
		{"slots.timeout = 200ms .. 2s", "slots.cold_slots = 1 .. 2", "[deviation] slots.cold_slots: cold_slots protects targets"},
		{"slots.timeout = 200ms .. 2s", "", "[branch harbour] slots.timeout: [deviation] doesn't list it"},
		{"slots.timeout = 800ms", "slots.timeout = 3s", "[branch harbour] slots.timeout: 3s is outside of 200ms .. 2s"},
		{"slots.timeout = 800ms", "slots.speed = 3", "[branch harbour] slots.speed: a service has no limit"},
		{"slots.timeout = 800ms", "timeout = 3s", "[branch harbour] timeout: has not the form service.limit"},
		{"slots.timeout = 800ms", "cells.timeout = 3s", "[branch harbour] cells.timeout: there is no section [service cells]"},
	} {
		t.Run(c.now, func(t *testing.T) {
			_, err := Parse(edit(t, c.old, c.now))
			var issues Issues
			if !errors.As(err, &issues) || !slices.ContainsFunc(issues, func(f Issue) bool { return strings.HasPrefix(f.String(), c.want) }) {
				t.Fatalf("want issue %q, got %v", c.want, err)
			}
		})
	}
}

// Guards against a parser that reports only the first issue of a document.
func TestAllIssuesTogether(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(strings.NewReplacer("witnesses = 2", "witnesses = x", "slots = 6", "slots = 0", "[::1]", "host").Replace(sample)))
	var issues Issues
	is.True(errors.As(err, &issues))
	is.Equal(len(issues), 3)
}

// Guards against a policy that changes when its canonical document is submitted
// again.
func TestEncodeRoundTrip(t *testing.T) {
	is := is.New(t)
	p, err := Parse([]byte(sample))
	is.NoErr(err)
	for _, defaults := range []bool{false, true} {
		again, err := Parse(p.Encode(defaults))
		is.NoErr(err)
		is.True(reflect.DeepEqual(p, again))
		is.Equal(string(again.Encode(defaults)), string(p.Encode(defaults)))
	}
	is.True(len(p.Encode(true)) > 2*len(p.Encode(false)))
}

// Guards against differences without section and key, and against a difference
// reported for a default that is written out.
func TestDiff(t *testing.T) {
	is := is.New(t)
	p, err := Parse([]byte(sample))
	is.NoErr(err)
	same, err := Parse(p.Encode(true))
	is.NoErr(err)
	is.Equal(len(Diff(p, same)), 0)
	other, err := Parse([]byte(strings.NewReplacer("timeout = 500ms", "timeout = 600ms",
		"ledger.retry_budget = 0\n", "", "[branch harbour]", "[branch lake]\n[branch harbour]").Replace(sample)))
	is.NoErr(err)
	is.Equal(fmt.Sprint(Diff(p, other)), fmt.Sprint([]string{
		"[service slots] timeout: 600ms, was 500ms",
		"[branch lake]: added",
		"[branch harbour] ledger.retry_budget: removed, was 0",
	}))
	is.Equal(len(Diff(nil, p)) > 20, true)
}

// Guards against accepted routes on which gin panics, and against routes that are
// rejected although gin accepts them.
func TestRouteConflictsMatchGin(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	segment := rapid.SampledFrom([]string{"a", "ab", "b", "{x}", "{y}"})
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for i := range rapid.IntRange(1, 6).Draw(t, "routes") {
			path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "path"), "/")
			if checkPath(path) == nil {
				routes = append(routes, Route{Name: fmt.Sprint(i), Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"), Path: path})
			}
		}
		if accepted, registered := len(conflicts(routes)) == 0, ginAccepts(routes); accepted != registered {
			t.Fatalf("conflict-free: %v, accepted by gin: %v: %+v", accepted, registered, routes)
		}
	})
}

func ginAccepts(routes []Route) (ok bool) {
	defer func() { ok = recover() == nil }()
	e := gin.New()
	for _, r := range routes {
		e.Handle(r.Method, strings.NewReplacer("{", ":", "}", "").Replace(r.Path), func(*gin.Context) {})
	}
	return true
}

// Guards against a division by zero in Home for a hot key of a service that the
// policy no longer lists.
func TestHomeOfUnknownService(t *testing.T) {
	is := is.New(t)
	p, err := Parse([]byte(sample))
	is.NoErr(err)
	_, ok := p.Home(core.RangeID{Service: "gone", HotKey: 7}, func(core.FailureDomain) bool { return true })
	is.True(!ok)
}

// Guards against documentation with wrong defaults, bounds, units or reasons.
func TestDocumentedNumbers(t *testing.T) {
	page, err := os.ReadFile("../../docs/POLICY.md")
	if err != nil {
		t.Fatal(err)
	}
	checkRows(t, string(page), controlNumbers)
	checkRows(t, string(page), []number[Service]{rangesNumber})
	checkRows(t, string(page), limitNumbers)
	checkRows(t, string(page), targetNumbers)
}

func checkRows[S any](t *testing.T, page string, numbers []number[S]) {
	t.Helper()
	for _, n := range numbers {
		f := n.unit.format
		row := fmt.Sprintf("| `%s` | %s | %s | %s .. %s | %s |", n.name, n.unit, f(n.defaultValue), f(n.min), f(n.max), n.reason)
		if !strings.Contains(page, row) {
			t.Errorf("docs/POLICY.md lacks the row\n%s", row)
		}
	}
}

// Guards against documents on which Parse panics, since every VM parses those in
// the log, and against a canonical document that differs from its source.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[deployment]\nname = \"\"\"a\nb\"\"\"\n- = 1\n- = 2\n[\n"))
	f.Add([]byte("[service a.b]\n[service a]\nx = %(x)s\nx = `\n[deviation]\n.= .. \n"))
	f.Fuzz(func(t *testing.T, document []byte) {
		p, err := Parse(document)
		if err != nil {
			return
		}
		again, err := Parse(p.Encode(false))
		if err != nil || len(Diff(p, again)) > 0 {
			t.Fatalf("canonical form differs: %v", err)
		}
	})
}

// Guards against keys that change their range while targets hold grants for the
// old ranges, which would give a key two owners.
func TestCheckChangeRejectsReshardedService(t *testing.T) {
	is := is.New(t)
	old := &Policy{Services: map[core.Service]Service{"s": {Ranges: 24, Sharding: ShardingKey}}}
	is.NoErr(CheckChange(old, old))
	next := &Policy{Services: map[core.Service]Service{
		"s": {Ranges: 48, Sharding: ShardingNone}, "new": {Ranges: 7},
	}}
	issues, ok := CheckChange(old, next).(Issues)
	is.True(ok)
	is.Equal(len(issues), 2)
	is.Equal(issues[0].Key, "ranges")
	is.Equal(issues[1].Key, "division")
}
