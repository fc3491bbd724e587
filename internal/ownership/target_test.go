package ownership

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

func (w *world) target(id core.Target) *target {
	for _, t := range w.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (v *vm) release(mine int64, o Release) {
	t := v.target(o.Holder.Target)
	v.after(v.delay(), func() {
		if !t.up || t.cutTo[v.name] {
			v.after(600*time.Millisecond, func() { v.post(mine, Released{Task: o.Task, Outcome: ReleaseUnknown}) })
			return
		}
		for u := o.From; u <= o.To; u++ {
			t.fence[u] = max(t.fence[u], o.Fence)
			t.until[u] = 0
		}
		v.after(v.delay(), func() {
			out := Released{Task: o.Task, Outcome: ReleaseConfirmed}
			if t.cutTo[v.name] {
				out.Outcome = ReleaseUnknown
			}
			v.post(mine, out)
		})
	})
}

// order delivers a grant. Some are carried out seconds later without an answer;
// their time counts from their arrival.
func (v *vm) order(mine int64, h Holder, from, to int, fence int64, done func(ok, answered bool)) {
	t := v.target(h.Target)
	// An order on a connection dies with the process at its other end.
	born, connected := t.born, t.up
	same := func() bool { return t.up && connected && t.born == born }
	v.after(v.delay(), func() {
		if !same() || t.cutTo[v.name] {
			v.after(300*time.Millisecond, func() { done(false, false) })
			return
		}
		until := v.now.Add(time.Duration(float64(Hold) * t.slow))
		if v.random.IntN(25) == 0 {
			v.after(2*time.Second+time.Duration(v.random.IntN(10000))*time.Millisecond, func() {
				if same() {
					v.take(t, from, to, fence, until)
				}
			})
			v.after(300*time.Millisecond, func() { done(false, false) })
			return
		}
		ok := v.take(t, from, to, fence, until)
		v.after(v.delay(), func() { done(ok, !t.cutTo[v.name]) })
	})
}

// take is the target's side of a grant, with the checks of single ownership.
func (w *world) take(t *target, from, to int, fence int64, until core.Instant) bool {
	if !t.up {
		return false
	}
	for u := from; u <= to; u++ {
		if t.fence[u] > fence {
			return false
		}
	}
	for _, o := range w.targets {
		if o == t || !o.up || !until.After(w.now) {
			continue
		}
		for u := from; u <= to; u++ {
			if o.until[u].After(w.now) {
				w.fault("%s takes unit %d with token %d while %s holds it with %d for %v", t.id, u, fence, o.id, o.fence[u], o.until[u].Sub(w.now))
				return false
			}
			if o.fence[u] > fence {
				w.fault("%s takes unit %d with token %d after %s had %d", t.id, u, fence, o.id, o.fence[u])
				return false
			}
		}
	}
	for u := from; u <= to; u++ {
		// A grant that is carried out late doesn't shorten a newer one.
		t.fence[u], t.until[u] = fence, max(until, t.until[u])
	}
	return true
}

func (w *world) fault(format string, args ...any) {
	w.note("FAULT "+format, args...)
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// restarted is what a health check shows of a process: it is cold for longer
// than the known one can be.
func (v *vm) restarted(h Holder) bool {
	const coldTime, margin = 3 * time.Second, 250
	t := v.target(h.Target)
	cold := v.now.Sub(core.Instant(t.born)*core.Instant(time.Millisecond)) < coldTime
	return t.up && !t.cutTo[v.name] && cold && t.born > h.Born+margin
}

func (v *vm) renew(mine int64, o Renew) {
	if o.Verify && v.restarted(o.Holder) {
		v.after(2*v.delay(), func() { v.post(mine, Renewed{Holder: o.Holder, Restarted: true}) })
		return
	}
	v.note("%s renews %s (born %d) verify %v fences %d..", v.name, o.Holder.Target, o.Holder.Born, o.Verify, o.Rows[0].Fence)
	result := Renewed{Holder: o.Holder, Started: v.now}
	open := len(o.Rows)
	for _, row := range o.Rows {
		v.order(mine, o.Holder, row.From, row.To, row.Fence, func(ok, answered bool) {
			if !answered {
				result.Err = fmt.Errorf("no answer")
			} else if result.Answered++; !ok {
				result.Refused++
			}
			if open--; open == 0 {
				v.post(mine, result)
			}
		})
	}
}
