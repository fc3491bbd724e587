package scenario

import (
	"testing"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/standin/target"
)

// Guards against a check that passes what it should find: two owners at a
// time, a second run, and answers that the runs contradict.
func TestChecksFindViolations(t *testing.T) {
	is := is.New(t)
	run := func(on core.Target, began, ended int64) target.Run {
		return target.Run{
			Target: on, Request: "a", Range: core.RangeID{Service: "s", Number: 1},
			BeganAt: began, EndedAt: ended, Ended: 1,
		}
	}
	is.NoErr(checkOwners([]target.Run{run("x", 1, 5), run("y", 5, 9)}))
	is.True(checkOwners([]target.Run{run("x", 1, 5), run("y", 4, 9)}) != nil)
	is.True(checkOwners([]target.Run{run("x", 1, 20), run("x", 2, 3), run("y", 10, 11)}) != nil)

	said := func(method, outcome string) answer {
		return answer{request: request{method: method, id: "a"}, outcome: outcome}
	}
	one := []target.Run{run("x", 1, 5)}
	two := []target.Run{run("x", 1, 5), run("y", 6, 7)}
	cancelled := []target.Run{{Target: "x", Request: "a", Ended: 1, Cancelled: true}}
	for _, c := range []struct {
		runs    []target.Run
		answers []answer
		ok      bool
	}{
		{one, []answer{said("POST", "answered")}, true},
		{one, []answer{said("POST", "unknown"), said("POST", "not-run")}, true},
		{nil, []answer{said("POST", "not-run")}, true},
		{two, []answer{said("GET", "answered")}, true},
		{two, []answer{said("POST", "unknown")}, false},
		{nil, []answer{said("GET", "answered")}, false},
		{cancelled, []answer{said("POST", "answered")}, false},
		{one, []answer{said("GET", "not-run")}, false},
		{one, []answer{said("POST", "overloaded")}, false},
		{one, []answer{said("POST", "no-owner")}, false},
		{one, []answer{said("POST", "bad-request")}, false},
	} {
		is.Equal(checkAnswer(c.runs, c.answers) == nil, c.ok)
	}
}
