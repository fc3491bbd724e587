package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/roster"
)

const (
	// confirmTime is how long after a lost connection the process may be found to
	// have ended.
	confirmTime = 3 * time.Second
	// trialStagger is the time between the trials of two VMs. The evidence of a
	// failed trial reaches the others within it.
	trialStagger = 1500 * time.Millisecond
	// retryWhileTried is the retry delay while this VM tries the request.
	retryWhileTried = 500 * time.Millisecond
	// forgetTime is how long evidence is kept after the last process ended.
	forgetTime = 2 * time.Hour
	// forgetUnrepeatedTime is the same for requests under which one process ended,
	// among which are those that merely ran beside a harmful one.
	forgetUnrepeatedTime = time.Minute
	// maxRequests and maxProcesses bound the memory for evidence.
	maxRequests  = 1024
	maxProcesses = 8
)

// holdTimes are how long a request isn't sent after the first, second and later
// processes ended under it. The keys of a lost target have another owner after
// about the first one, so that requests that ran beside a harmful one lose little.
var holdTimes = [...]time.Duration{5 * time.Second, time.Minute, time.Hour}

// entry is the evidence against a request.
type entry struct {
	ended, excused map[Process]bool
	lastEnd        core.Instant
	trying         *atomic.Bool
	// digest is the entry's part of Duty.digest.
	digest uint64
}

// count returns how many processes ended under the request that it isn't excused
// for.
func (e *entry) count() int {
	n := 0
	for p := range e.ended {
		if !e.excused[p] {
			n++
		}
	}
	return n
}

// dropOldest drops the processes that started first if there are too many. All VMs
// keep the same ones, in whichever order they learn of them.
func (e *entry) dropOldest() {
	for len(e.ended) > maxProcesses {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(e.ended)), func(a, b Process) int {
			return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Target, b.Target))
		})
		delete(e.ended, oldest)
		delete(e.excused, oldest)
	}
}

// Duty is the state machine of the quarantine.
type Duty struct {
	members *roster.View
	entries map[Fingerprint]*entry
	// lost holds when requests lost their connection to a process that is not known
	// to have ended.
	lost map[Process]map[Fingerprint]core.Instant
	// ended holds when processes were found to have ended.
	ended map[Process]core.Instant
	// digest is a digest of all evidence that doesn't depend on its order.
	digest uint64
	// changed is set while the last view is out of date.
	changed bool
}

// NewDuty returns a duty that suspects no request.
func NewDuty() *Duty {
	return &Duty{entries: make(map[Fingerprint]*entry), lost: make(map[Process]map[Fingerprint]core.Instant), ended: make(map[Process]core.Instant)}
}

// Step implements duty.Step.
func (d *Duty) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case AttemptLost:
		out = d.attemptLost(now, m)
	case ProcessEnded:
		out = d.processEnded(now, m.Process)
	case Answered:
		out = d.answered(now, m.Request)
	case EvidenceReceived:
		d.merge(now, m.Evidence)
	case Compare:
		d.merge(now, m.Evidence)
		reply := CompareReply{Different: m.Digest != d.digest}
		if reply.Different {
			reply.Evidence = d.evidence(now)
		}
		out = []Output{SendReply{To: m.Reply, Reply: reply}}
	case MembersChanged:
		d.members, d.changed = m.View, true
	case Tick:
		d.forget(now)
	}
	if d.changed {
		d.changed = false
		out = append(out, ViewUpdated{View: d.view()})
	}
	return out
}

func (d *Duty) attemptLost(now core.Instant, m AttemptLost) []Output {
	if at, ok := d.ended[m.Process]; ok && now.Sub(at) < confirmTime {
		return d.suspect(now, m.Process, []Fingerprint{m.Request})
	}
	if d.lost[m.Process] == nil {
		d.lost[m.Process] = make(map[Fingerprint]core.Instant)
	}
	if len(d.lost[m.Process]) < maxRequests {
		d.lost[m.Process][m.Request] = now
	}
	return nil
}

func (d *Duty) processEnded(now core.Instant, p Process) []Output {
	d.ended[p] = now
	var requests []Fingerprint
	for f, at := range d.lost[p] {
		if now.Sub(at) < confirmTime {
			requests = append(requests, f)
		}
	}
	delete(d.lost, p)
	slices.SortFunc(requests, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return d.suspect(now, p, requests)
}

// suspect adds evidence that a process ended under some requests.
func (d *Duty) suspect(now core.Instant, p Process, requests []Fingerprint) []Output {
	var out []Output
	var added []Evidence
	for _, f := range requests {
		e := d.entry(f)
		if e.ended[p] {
			continue
		}
		e.ended[p], e.lastEnd = true, now
		d.updated(f, e)
		added = append(added, d.evidenceOf(now, f, e))
		out = append(out, Event{Text: "target ended while it had a request", Fields: []any{
			"fingerprint", f.String(), "target", p.Target, "started_at", p.StartedAt, "ended_under_it", e.count(), "held_ms", holdTime(e.count()).Milliseconds(),
		}})
	}
	if len(added) > 0 {
		out = append(out, SendEvidence{Evidence: added})
	}
	return out
}

// answered excuses a request for the processes that ended under it so far.
func (d *Duty) answered(now core.Instant, f Fingerprint) []Output {
	for _, requests := range d.lost {
		delete(requests, f)
	}
	e := d.entries[f]
	if e == nil || e.count() == 0 {
		return nil
	}
	maps.Copy(e.excused, e.ended)
	d.updated(f, e)
	return []Output{SendEvidence{Evidence: []Evidence{d.evidenceOf(now, f, e)}}}
}

// merge adds the evidence of another VM.
func (d *Duty) merge(now core.Instant, list []Evidence) {
	for _, v := range list {
		if len(v.Ended) == 0 || v.Age < 0 || v.Age >= forgetTime || len(v.Ended) == 1 && v.Age >= forgetUnrepeatedTime {
			continue
		}
		e := d.entry(v.Request)
		for _, p := range v.Ended {
			e.ended[p] = true
		}
		for _, p := range v.Excused {
			if e.ended[p] {
				e.excused[p] = true
			}
		}
		e.lastEnd = max(e.lastEnd, now.Add(-v.Age))
		d.updated(v.Request, e)
	}
}

// entry returns the entry of a request. If there are too many, it drops the one
// with the least evidence.
func (d *Duty) entry(f Fingerprint) *entry {
	if e := d.entries[f]; e != nil {
		return e
	}
	if len(d.entries) >= maxRequests {
		var least Fingerprint
		var found *entry
		for f, e := range d.entries {
			if found == nil || cmp.Or(cmp.Compare(e.count(), found.count()), cmp.Compare(e.lastEnd, found.lastEnd)) < 0 {
				least, found = f, e
			}
		}
		d.remove(least)
	}
	e := &entry{ended: make(map[Process]bool), excused: make(map[Process]bool), trying: new(atomic.Bool)}
	d.entries[f] = e
	return e
}

func (d *Duty) forget(now core.Instant) {
	for f, e := range d.entries {
		limit := forgetTime
		if len(e.ended) == 1 {
			limit = forgetUnrepeatedTime
		}
		if now.Sub(e.lastEnd) >= limit {
			d.remove(f)
		}
	}
	for p, requests := range d.lost {
		maps.DeleteFunc(requests, func(_ Fingerprint, at core.Instant) bool { return now.Sub(at) >= confirmTime })
		if len(requests) == 0 {
			delete(d.lost, p)
		}
	}
	maps.DeleteFunc(d.ended, func(_ Process, at core.Instant) bool { return now.Sub(at) >= confirmTime })
}

func holdTime(count int) time.Duration {
	if count == 0 {
		return 0
	}
	return holdTimes[min(count, len(holdTimes))-1]
}

// view returns a snapshot. The VMs try a request in the order of their rank for it.
func (d *Duty) view() *View {
	v := &View{Digest: d.digest, suspected: make(map[Fingerprint]*suspect)}
	var vms, self uint64
	if d.members != nil {
		vms = uint64(d.members.Size())
		self = uint64(slices.IndexFunc(d.members.All(), func(m roster.Member) bool { return m.VM == d.members.Self().VM }))
	}
	for f, e := range d.entries {
		count := e.count()
		if count == 0 {
			continue
		}
		rank := uint64(0)
		if vms > 0 {
			rank = (self + binary.BigEndian.Uint64(f[:])%vms) % vms // differs between the VMs
		}
		v.suspected[f] = &suspect{heldUntil: e.lastEnd.Add(holdTime(count) + time.Duration(rank)*trialStagger), trying: e.trying}
	}
	return v
}

// evidence returns all evidence.
func (d *Duty) evidence(now core.Instant) []Evidence {
	out := make([]Evidence, 0, len(d.entries))
	for f, e := range d.entries {
		out = append(out, d.evidenceOf(now, f, e))
	}
	slices.SortFunc(out, func(a, b Evidence) int { return bytes.Compare(a.Request[:], b.Request[:]) })
	return out
}

func (d *Duty) evidenceOf(now core.Instant, f Fingerprint, e *entry) Evidence {
	return Evidence{Request: f, Ended: sorted(e.ended), Excused: sorted(e.excused), Age: now.Sub(e.lastEnd)}
}

func sorted(set map[Process]bool) []Process {
	return slices.SortedFunc(maps.Keys(set), func(a, b Process) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.StartedAt, b.StartedAt))
	})
}

// updated records that the evidence against a request has changed.
func (d *Duty) updated(f Fingerprint, e *entry) {
	e.dropOldest()
	h := fnv.New64a()
	h.Write(f[:])
	for _, set := range []map[Process]bool{e.ended, e.excused} {
		h.Write([]byte{0xff})
		for _, p := range sorted(set) {
			h.Write([]byte(p.Target))
			h.Write(binary.BigEndian.AppendUint64(nil, uint64(p.StartedAt)))
		}
	}
	d.digest ^= e.digest
	e.digest = h.Sum64()
	d.digest ^= e.digest
	d.changed = true
}

// remove forgets the evidence against a request.
func (d *Duty) remove(f Fingerprint) {
	d.digest ^= d.entries[f].digest
	delete(d.entries, f)
	d.changed = true
}
