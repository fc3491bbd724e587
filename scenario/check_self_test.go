package scenario

import (
	"testing"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/standin/target"
)

// Guards against a check that misses what it should report: two owners at the
// same time, a second run, and results that contradict the runs.
func TestChecksFindViolations(t *testing.T) {
	is := is.New(t)
	run := func(id core.Target, startedAt, endedAt int64) target.Run {
		return target.Run{
			Target: id, Request: "a", Range: core.RangeID{Service: "s", Number: 1},
			BeganAt: startedAt, EndedAt: endedAt, Ended: 1,
		}
	}
	is.NoErr(checkSingleOwner([]target.Run{run("x", 1, 5), run("y", 5, 9)}))
	is.True(checkSingleOwner([]target.Run{run("x", 1, 5), run("y", 4, 9)}) != nil)
	is.True(checkSingleOwner([]target.Run{run("x", 1, 20), run("x", 2, 3), run("y", 10, 11)}) != nil)

	newResult := func(method, outcome string) result {
		return result{request: request{method: method, id: "a"}, outcome: outcome}
	}
	oneRun := []target.Run{run("x", 1, 5)}
	twoRuns := []target.Run{run("x", 1, 5), run("y", 6, 7)}
	cancelled := []target.Run{{Target: "x", Request: "a", Ended: 1, Cancelled: true}}
	for _, c := range []struct {
		runs    []target.Run
		results []result
		ok      bool
	}{
		{oneRun, []result{newResult("POST", "answered")}, true},
		{oneRun, []result{newResult("POST", "unknown"), newResult("POST", "not-run")}, true},
		{nil, []result{newResult("POST", "not-run")}, true},
		{twoRuns, []result{newResult("GET", "answered")}, true},
		{twoRuns, []result{newResult("POST", "unknown")}, false},
		{nil, []result{newResult("GET", "answered")}, false},
		{cancelled, []result{newResult("POST", "answered")}, false},
		{oneRun, []result{newResult("GET", "not-run")}, false},
		{oneRun, []result{newResult("POST", "overloaded")}, false},
		{oneRun, []result{newResult("POST", "no-owner")}, false},
		{oneRun, []result{newResult("POST", "bad-request")}, false},
	} {
		is.Equal(checkRequest(c.runs, c.results) == nil, c.ok)
	}
}
