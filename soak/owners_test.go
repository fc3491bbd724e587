package soak

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	keyCount = 65536
	// keyStep is the distance of the keys whose holders are compared regularly.
	keyStep = 16
)

// ownership is what targets hold, as they see it themselves.
type ownership struct {
	servers map[*wire.Server]*tenure
	// highest is the highest token of each key and who had it.
	highest [keyCount]int64
	holder  [keyCount]*wire.Server
	// together is since when two targets hold a key.
	together map[int]time.Time
}

// tenure is what one target's process did.
type tenure struct {
	// granted and ran are when it was last newly given a key, and when it last
	// began a request for it.
	granted, ran map[int]time.Time
}

func newOwnership() ownership {
	return ownership{servers: make(map[*wire.Server]*tenure), together: make(map[int]time.Time)}
}

func (o *ownership) tenure(s *wire.Server) *tenure {
	t := o.servers[s]
	if t == nil {
		t = &tenure{granted: make(map[int]time.Time), ran: make(map[int]time.Time)}
		o.servers[s] = t
	}
	return t
}

// granted returns what is wrong with a grant: a token that isn't above those of
// other targets, unless it may have been held up on its way.
func (o *ownership) granted(s *wire.Server, from, to int, fence int64, late bool) []string {
	t := o.tenure(s)
	var out []string
	for k := from; k <= to; k++ {
		if o.holder[k] != s {
			if fence <= o.highest[k] && !late && len(out) == 0 {
				out = append(out, fmt.Sprintf("target %s takes key %d with token %d, %s had token %d", s.ID, k, fence, o.holder[k].ID, o.highest[k]))
			}
			if k%keyStep == 0 {
				t.granted[k] = time.Now()
			}
		}
		if fence > o.highest[k] {
			o.highest[k], o.holder[k] = fence, s
		}
	}
	return out
}

// began returns the other targets that hold the key of a run and have begun a
// request for it since both hold it.
func (o *ownership) began(s *wire.Server, run wire.Run, late bool) []string {
	mine := o.tenure(s)
	mine.ran[run.Key] = run.At
	var out []string
	for other, t := range o.servers {
		if other == s || other.Service != s.Service || other.Stopped() || late || !other.HoldsKey(run.Key) {
			continue
		}
		if ran, ok := t.ran[run.Key]; ok && ran.After(mine.granted[run.Key/keyStep*keyStep]) {
			out = append(out, fmt.Sprintf("targets %s and %s both hold key %d and run requests for it", s.ID, other.ID, run.Key))
		}
	}
	return out
}

// compare returns keys that two targets hold for longer than a bound.
func (o *ownership) compare(now time.Time, bound time.Duration) []string {
	var out []string
	for k := 0; k < keyCount; k += keyStep {
		var holders []*wire.Server
		for s := range o.servers {
			if !s.Stopped() && s.HoldsKey(k) {
				holders = append(holders, s)
			}
		}
		if len(holders) < 2 {
			delete(o.together, k)
			continue
		}
		since, ok := o.together[k]
		if !ok {
			o.together[k] = now
		} else if now.Sub(since) > bound && len(out) < 3 {
			out = append(out, fmt.Sprintf("targets %s and %s hold key %d for %v", holders[0].ID, holders[1].ID, k, now.Sub(since)))
		}
	}
	return out
}

// compareOwners looks for keys with two holders.
func (c *checker) compareOwners(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.keys.servers {
		if s.Stopped() {
			delete(c.keys.servers, s)
		}
	}
	for _, text := range c.keys.compare(now, overlapBound+thawBound) {
		if c.history.calm(now, now) {
			c.violate(OneOwner, "%s", text)
		}
	}
}
