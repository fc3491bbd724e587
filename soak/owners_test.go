package soak

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	keyCount = 65536
	// keyStep is the distance between the keys whose holders are compared
	// periodically.
	keyStep = 16
)

// ownership is which target holds which keys, as the targets themselves see it.
type ownership struct {
	servers map[*wire.Server]*holdings
	// highestToken and highestHolder are the highest token of each key, and the
	// target that had it.
	highestToken  [keyCount]int64
	highestHolder [keyCount]*wire.Server
	// sharedSince is since when two targets hold a key.
	sharedSince map[int]time.Time
}

// holdings is the history of one target.
type holdings struct {
	// grantedAt is when the target last received a key that it didn't hold, and
	// ranAt when it last started a request for the key.
	grantedAt, ranAt map[int]time.Time
}

func newOwnership() ownership {
	return ownership{servers: make(map[*wire.Server]*holdings), sharedSince: make(map[int]time.Time)}
}

func (o *ownership) holdingsOf(s *wire.Server) *holdings {
	h := o.servers[s]
	if h == nil {
		h = &holdings{grantedAt: make(map[int]time.Time), ranAt: make(map[int]time.Time)}
		o.servers[s] = h
	}
	return h
}

// granted records a grant. It returns the violation, if any: a token that isn't
// higher than those of other targets, unless the grant may have been delayed.
func (o *ownership) granted(s *wire.Server, from, to int, token int64, late bool) []string {
	h := o.holdingsOf(s)
	var out []string
	for k := from; k <= to; k++ {
		if o.highestHolder[k] != s {
			if token <= o.highestToken[k] && !late && len(out) == 0 {
				out = append(out, fmt.Sprintf("target %s was granted key %d with token %d, but %s had token %d", s.ID, k, token, o.highestHolder[k].ID, o.highestToken[k]))
			}
			if k%keyStep == 0 {
				h.grantedAt[k] = time.Now()
			}
		}
		if token > o.highestToken[k] {
			o.highestToken[k], o.highestHolder[k] = token, s
		}
	}
	return out
}

// runStarted records a run. It returns one violation for each other target that
// holds the key and has started a request for it since both hold it.
func (o *ownership) runStarted(s *wire.Server, run wire.Run, late bool) []string {
	mine := o.holdingsOf(s)
	mine.ranAt[run.Key] = run.At
	var out []string
	for other, h := range o.servers {
		if other == s || other.Service != s.Service || other.Stopped() || late || !other.HoldsKey(run.Key) {
			continue
		}
		if ran, ok := h.ranAt[run.Key]; ok && ran.After(mine.grantedAt[run.Key/keyStep*keyStep]) {
			out = append(out, fmt.Sprintf("targets %s and %s both hold key %d and run requests for it", s.ID, other.ID, run.Key))
		}
	}
	return out
}

// sharedKeys returns a violation for up to three keys that two targets have held
// for longer than the bound.
func (o *ownership) sharedKeys(now time.Time, bound time.Duration) []string {
	var out []string
	for k := 0; k < keyCount; k += keyStep {
		var holders []*wire.Server
		for s := range o.servers {
			if !s.Stopped() && s.HoldsKey(k) {
				holders = append(holders, s)
			}
		}
		if len(holders) < 2 {
			delete(o.sharedSince, k)
			continue
		}
		since, ok := o.sharedSince[k]
		if !ok {
			o.sharedSince[k] = now
		} else if now.Sub(since) > bound && len(out) < 3 {
			out = append(out, fmt.Sprintf("targets %s and %s have both held key %d for %v", holders[0].ID, holders[1].ID, k, now.Sub(since)))
		}
	}
	return out
}

// checkOwners checks that no key has two holders.
func (c *checker) checkOwners(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.keys.servers {
		if s.Stopped() {
			delete(c.keys.servers, s)
		}
	}
	for _, text := range c.keys.sharedKeys(now, overlapBound+lateGrantBound) {
		if c.history.undisturbed(now, now) {
			c.violate(SingleOwner, "%s", text)
		}
	}
}
