package ownership

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

func (c *cluster) targetByID(id core.Target) *simTarget {
	for _, t := range c.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (v *simVM) release(incarnation int64, o Release) {
	t := v.targetByID(o.Holder.Target)
	v.after(v.oneWayDelay(), func() {
		if !t.up || t.cutOffFrom[v.name] {
			v.after(600*time.Millisecond, func() { v.post(incarnation, Released{Move: o.Move, Outcome: ReleaseUnknown}) })
			return
		}
		for u := o.From; u <= o.To; u++ {
			t.token[u] = max(t.token[u], o.Token)
			t.heldUntil[u] = 0
		}
		v.after(v.oneWayDelay(), func() {
			out := Released{Move: o.Move, Outcome: ReleaseConfirmed}
			if t.cutOffFrom[v.name] {
				out.Outcome = ReleaseUnknown
			}
			v.post(incarnation, out)
		})
	})
}

// sendGrant delivers a grant. Some grants are carried out seconds later without a
// response; their duration counts from their arrival.
func (v *simVM) sendGrant(incarnation int64, h Holder, from, to int, token int64, duration time.Duration, done func(ok, responded bool)) {
	t := v.targetByID(h.Target)
	// An order is lost if the process at the other end of the connection exits.
	startedAt, connected := t.startedAt, t.up
	sameProcess := func() bool { return t.up && connected && t.startedAt == startedAt }
	v.after(v.oneWayDelay(), func() {
		if !sameProcess() || t.cutOffFrom[v.name] {
			v.after(300*time.Millisecond, func() { done(false, false) })
			return
		}
		until := v.now.Add(time.Duration(float64(duration) * t.clockFactor))
		if v.rng.IntN(25) == 0 {
			v.after(2*time.Second+time.Duration(v.rng.IntN(10000))*time.Millisecond, func() {
				if sameProcess() {
					v.applyGrant(t, from, to, token, until)
				}
			})
			v.after(300*time.Millisecond, func() { done(false, false) })
			return
		}
		ok := v.applyGrant(t, from, to, token, until)
		v.after(v.oneWayDelay(), func() { done(ok, !t.cutOffFrom[v.name]) })
	})
}

// applyGrant is the target's side of a grant, with checks for single ownership.
func (c *cluster) applyGrant(t *simTarget, from, to int, token int64, until core.Instant) bool {
	if !t.up {
		return false
	}
	for u := from; u <= to; u++ {
		if t.token[u] > token {
			return false
		}
	}
	for _, o := range c.targets {
		if o == t || !o.up || !until.After(c.now) {
			continue
		}
		for u := from; u <= to; u++ {
			if o.heldUntil[u].After(c.now) {
				c.violationf("%s accepts unit %d with token %d while %s holds it with token %d for %v", t.id, u, token, o.id, o.token[u], o.heldUntil[u].Sub(c.now))
				return false
			}
			if o.token[u] > token {
				c.violationf("%s accepts unit %d with token %d after %s had token %d", t.id, u, token, o.id, o.token[u])
				return false
			}
		}
	}
	holder := string(t.id)
	if c.distinguishProcesses {
		holder = fmt.Sprintf("%s started at %d", t.id, t.startedAt)
	}
	for u := from; u <= to && until.After(c.now); u++ {
		h := &c.holds[u]
		if h.token > token || h.token == token && h.holder != holder {
			c.violationf("%s accepts unit %d with token %d, which is not above token %d of %s", holder, u, token, h.token, h.holder)
			return false
		}
		h.token, h.holder = token, holder
	}
	for u := from; u <= to; u++ {
		// A grant that is carried out late does not shorten a newer one.
		t.token[u], t.heldUntil[u] = token, max(until, t.heldUntil[u])
	}
	return true
}

func (c *cluster) violationf(format string, args ...any) {
	c.tracef("FAULT "+format, args...)
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// looksRestarted is the result of a health check: the target is cold although the
// known process would be warm by now.
func (v *simVM) looksRestarted(h Holder) bool {
	const coldTime, margin = 3 * time.Second, 250
	t := v.targetByID(h.Target)
	cold := v.now.Sub(core.Instant(t.startedAt)*core.Instant(time.Millisecond)) < coldTime
	return t.up && !t.cutOffFrom[v.name] && cold && t.startedAt > h.StartedAt+margin
}

func (v *simVM) renew(incarnation int64, o Renew) {
	if o.Verify && v.looksRestarted(o.Holder) {
		v.after(2*v.oneWayDelay(), func() { v.post(incarnation, Renewed{Holder: o.Holder, Restarted: true}) })
		return
	}
	v.tracef("%s renews %s (started at %d) verify %v tokens %d..", v.name, o.Holder.Target, o.Holder.StartedAt, o.Verify, o.Ranges[0].Token)
	result := Renewed{Holder: o.Holder, Started: v.now}
	pending := len(o.Ranges)
	for _, ur := range o.Ranges {
		v.sendGrant(incarnation, o.Holder, ur.From, ur.To, ur.Token, o.Duration, func(ok, responded bool) {
			if !responded {
				result.Err = fmt.Errorf("no response")
			} else if result.Responses++; !ok {
				result.Rejections++
			}
			if pending--; pending == 0 {
				v.post(incarnation, result)
			}
		})
	}
}
