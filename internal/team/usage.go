package team

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// reportedTeams is the number of teams that are reported by name.
	reportedTeams = 20
	// maxCounted bounds the teams that are counted apart from others.
	maxCounted = 100_000
)

// Usage counts the requests of teams. It is safe for concurrent use.
type Usage struct {
	teams  sync.Map // from the name of a team to its *counts
	size   atomic.Int64
	others counts
}

// counts holds the requests by Outcome.
type counts [3]atomic.Int64

func (c *counts) total() int64 { return c[0].Load() + c[1].Load() + c[2].Load() }

// NewUsage returns counters that are 0.
func NewUsage() *Usage { return &Usage{} }

// Count counts a request.
func (u *Usage) Count(team string, o Outcome) {
	c, ok := u.teams.Load(team)
	if !ok {
		if u.size.Load() >= maxCounted {
			u.others[o].Add(1)
			return
		}
		var loaded bool
		if c, loaded = u.teams.LoadOrStore(team, new(counts)); !loaded {
			u.size.Add(1)
		}
	}
	c.(*counts)[o].Add(1)
}

// Report passes on the counters of the teams with the most requests, by name, and the
// sum of those of all others.
func (u *Usage) Report(add func(value int64, parts ...string)) {
	type entry struct {
		name  string
		total int64
		*counts
	}
	var list []entry
	u.teams.Range(func(k, v any) bool {
		c := v.(*counts)
		list = append(list, entry{name: k.(string), total: c.total(), counts: c})
		return true
	})
	slices.SortFunc(list, func(a, b entry) int { return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.name, b.name)) })
	var rest counts
	sum := func(c *counts) {
		for i := range rest {
			rest[i].Add(c[i].Load())
		}
	}
	sum(&u.others)
	for i, e := range list {
		if i >= reportedTeams {
			sum(e.counts)
			continue
		}
		report(add, e.counts, "team", e.name)
	}
	if len(list) > reportedTeams {
		report(add, &rest, "teams_other")
	}
}

func report(add func(value int64, parts ...string), c *counts, parts ...string) {
	for o, text := range [...]string{Admitted: "admitted", Exceeded: "quota_exceeded", Unavailable: "quota_unknown"} {
		add(c[o].Load(), append(slices.Clone(parts), text)...)
	}
}
