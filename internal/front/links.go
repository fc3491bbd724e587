package front

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

const (
	// batchSize bounds the records of one message to a witness.
	batchSize = 256
	// storePause is the pause after a witness did not store a batch.
	storePause = 50 * time.Millisecond
	// linkIdle is the longest time for which a witness hears nothing; it drops
	// copies that it has not heard of for the remember time.
	linkIdle = 15 * time.Second
)

// link carries the request ids of a target to one witness, in order and one
// batch at a time: whatever collects meanwhile goes into the next batch.
type link struct {
	vm core.VM
	// pending are the records that the witness has not confirmed; the first
	// sending of them are under way.
	pending []item
	sending int
	// busy is the number of the batch under way, 0 if there is none.
	busy uint64
	// last numbers the items added, confirmed is the last one confirmed.
	last, confirmed uint64
	// reset is set until the first batch of a full copy is confirmed.
	reset bool
	// whole is set if the batch under way ends with nothing pending.
	whole  bool
	synced bool
	// level is the cold-start limit that the witness has.
	level   int
	token   core.Token
	retryAt core.Instant
	sentAt  core.Instant
}

// item names a record, or the cover of a range if key is zero.
type item struct {
	key    witness.Key
	cover  core.RangeID
	number uint64
}

// add appends a record and returns its position.
func (l *link) add(k witness.Key) uint64 {
	l.last++
	l.pending = append(l.pending, item{key: k, number: l.last})
	return l.last
}

func (l *link) addCover(r core.RangeID) {
	l.last++
	l.pending = append(l.pending, item{cover: r, number: l.last})
}

// cover copies the records of ranges that have become complete to the
// witnesses, and then says so.
func (f *Front) cover(t *target) {
	if len(t.uncovered) == 0 {
		return
	}
	ids := t.uncovered
	t.uncovered = nil
	keys := f.memory.Keys(witness.Matcher(ids))
	for _, l := range t.links {
		for _, k := range keys {
			l.add(k)
		}
		for _, id := range ids {
			l.addCover(id)
		}
	}
}

// coverAgain repeats the covers of all ranges under a new token, which voids
// the earlier ones at the witnesses.
func (f *Front) coverAgain(t *target) {
	for _, id := range t.ranges {
		if !f.covered(id) {
			continue
		}
		for _, l := range t.links {
			l.addCover(id)
		}
	}
}

// assignLinks follows the target's list of witnesses.
func (f *Front) assignLinks(now core.Instant, t *target) {
	var links []*link
	for _, vm := range t.assignment.Witnesses {
		if vm == f.vm {
			continue
		}
		i := slices.IndexFunc(t.links, func(l *link) bool { return l.vm == vm })
		if i >= 0 {
			links = append(links, t.links[i])
			continue
		}
		l := &link{vm: vm}
		f.copyAll(t, l)
		links = append(links, l)
	}
	if !slices.Equal(links, t.links) {
		t.links = links
		f.needAll(t)
	}
	f.flushLinks(now, t)
	f.sendReady(now, t)
}

// copyAll starts a full copy: all records of the target's service, then the
// covers of its ranges. Confirmations of an earlier copy count no more.
func (f *Front) copyAll(t *target, l *link) {
	l.pending, l.sending = nil, 0
	l.reset, l.synced = true, false
	service := t.assignment.Service
	for _, k := range f.memory.Keys(func(held core.RangeID) bool { return held.Service == service }) {
		l.add(k)
	}
	for _, id := range t.ranges {
		if f.covered(id) {
			l.addCover(id)
		}
	}
}

// needAll makes every reserved call wait for all that is pending.
func (f *Front) needAll(t *target) {
	for _, c := range t.reserved {
		c.needs = c.needs[:0]
		for _, l := range t.links {
			c.needs = append(c.needs, l.last)
		}
	}
}

// stored reports whether all witnesses have the id of a call.
func (t *target) stored(c *call) bool {
	for i, l := range t.links {
		if !l.synced || l.confirmed < c.needs[i] {
			return false
		}
	}
	return true
}

// flushLinks sends what the witnesses of a target lack.
func (f *Front) flushLinks(now core.Instant, t *target) {
	if t.view.Token.IsZero() {
		return
	}
	f.cover(t)
	for _, l := range t.links {
		level := l.level != t.ramp.limit || l.token != t.view.Token || now.Sub(l.sentAt) >= min(linkIdle, f.remember/4)
		if l.busy != 0 || now.Before(l.retryAt) || len(l.pending) == 0 && !l.reset && !level {
			continue
		}
		b := f.batch(now, t, l)
		f.emit(Remember{To: l.vm, Number: l.busy, Batch: b})
	}
}

func (f *Front) batch(now core.Instant, t *target, l *link) witness.Batch {
	l.busy, l.sentAt = f.number(), now
	l.sending = min(len(l.pending), batchSize)
	l.whole = l.sending == len(l.pending)
	l.level, l.token = t.ramp.limit, t.view.Token
	b := witness.Batch{
		Front: f.vm, Target: t.id, Token: t.view.Token,
		Reset: l.reset, Complete: l.whole,
		RampLimit: t.ramp.limit, Incarnation: t.view.Incarnation,
	}
	for _, i := range l.pending[:l.sending] {
		if i.key == (witness.Key{}) {
			if !f.covered(i.cover) {
				continue
			}
			b.Records = append(b.Records, witness.Record{Range: i.cover})
		} else if r, ok := f.memory.Aged(now, i.key); ok {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

func (f *Front) stepRemembered(now core.Instant, m Remembered) {
	t := f.targets[m.Target]
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.links, func(l *link) bool { return l.vm == m.At })
	if i < 0 || t.links[i].busy != m.Number {
		return
	}
	l := t.links[i]
	l.busy = 0
	switch {
	case !m.Stored.Stored:
		l.retryAt = now.Add(storePause)
		l.level = 0
	case l.whole && !m.Stored.Complete:
		// The witness has lost its copy, for example by a restart.
		f.copyAll(t, l)
		f.needAll(t)
	default:
		l.confirm()
	}
	f.flushLinks(now, t)
	f.sendReady(now, t)
	f.pump(now, t)
}

// confirm takes the batch under way as stored.
func (l *link) confirm() {
	if l.sending > 0 {
		l.confirmed = l.pending[l.sending-1].number
		l.pending = l.pending[l.sending:]
	}
	l.sending, l.reset = 0, false
	l.synced = l.synced || l.whole
}
