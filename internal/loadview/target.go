package loadview

import (
	"math"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// sampleHalfLife is the half-life of the weight of a service time sample.
	sampleHalfLife = time.Second
	// minSampleWeight is the weight, in samples, below which former samples do not
	// decay. It keeps a single slow request from replacing the estimate of a target
	// that gets few requests.
	minSampleWeight = 8.0
	// demandTimeConstant smooths the rates of a VM. A VM that sends a target a few
	// requests per second has counts of 0 to 3 in an interval of 250 ms.
	demandTimeConstant = 500 * time.Millisecond
	// The rates of a VM that is silent for silentAfter decay with silentHalfLife. A
	// VM with nothing new reports once a second.
	silentAfter    = 1300 * time.Millisecond
	silentHalfLife = 300 * time.Millisecond
	// queuePerSlot is the number of waiting requests per slot to which the queue of
	// a saturated target is brought within drainTime.
	queuePerSlot = 0.5
	drainTime    = 2 * time.Second
	// minCapacityFraction is the fraction of a target's capacity that is admitted
	// however long its queue is, so that its service time stays measured.
	minCapacityFraction = 0.1
	// A target comes under admission if its demand exceeds hotFactor times its capacity,
	// as that of a key that many callers want at once. Below it, the target's own queue
	// serves more requests than shares do. It leaves after the demand has been below
	// the capacity for leaveAfter.
	hotFactor  = 4.0
	leaveAfter = time.Second
	// A VM loses a part of its share while its bucket of one request is full. With
	// demand D and capacity C over all VMs and requests at random times, it uses its
	// part of C if its rate is D/(D-C) times that part, which maxBoost bounds. Above
	// bucketRate, in requests per second, a bucket holds several requests, and less is
	// lost.
	maxBoost   = 8.0
	bucketRate = 4.0
	// The shares are reduced or raised by trimRate per second while the VMs send more
	// than the capacity or less than trimBelow of it.
	trimRate  = 0.2
	trimBelow = 0.95
	minTrim   = 0.5
	maxTrim   = 1.2
	// roomTrimRate is trimRate for a target that reports free slots.
	roomTrimRate = 0.4
	maxRoomTrim  = 1.4
	// minAccepted bounds the accepted share of the requests that are sent.
	minAccepted = 0.2
	// unknownDemand is the demand, in requests per second, that a VM without an entry
	// is assumed to have at a target under admission.
	unknownDemand = 0.25
	// maxLoadAge is the age up to which a load report counts.
	maxLoadAge = 2 * time.Second
)

// rates are requests per second. withRoom are those that the target turned away while
// its queue was short.
type rates struct{ demand, sent, turnedAway, withRoom float64 }

func (r rates) plus(o rates, weight float64) rates {
	return rates{
		r.demand + weight*o.demand, r.sent + weight*o.sent, r.turnedAway + weight*o.turnedAway, r.withRoom + weight*o.withRoom,
	}
}

// demand is one VM's entry for a target.
type demand struct {
	rates
	at   core.Instant
	from *sender
}

// now returns the rates. Reports of the VM without the target count as reports of no
// requests; without any report the rates decay more slowly.
func (d *demand) now(now core.Instant) rates {
	zero := max(0, d.from.at.Sub(d.at))
	silent := max(0, now.Sub(d.from.at)-silentAfter)
	weight := math.Exp(-float64(zero)/float64(demandTimeConstant)) * math.Exp2(-float64(silent)/float64(silentHalfLife))
	return rates{}.plus(d.rates, weight)
}

// add adds the rates measured over an interval that ends now.
func (d *demand) add(now core.Instant, interval time.Duration, measured rates) {
	kept := math.Exp(-float64(interval) / float64(demandTimeConstant))
	gap := max(0, now.Sub(d.at)-interval)
	d.rates = rates{}.plus(d.rates, kept*math.Exp(-float64(gap)/float64(demandTimeConstant))).plus(measured, 1-kept)
	d.at = now
}

// targetState is the aggregate for a target's process.
type targetState struct {
	byVM  map[core.VM]*demand
	slots int
	// sampleSum is the weighted sum of the service time samples in seconds, and
	// sampleWeight the sum of their weights.
	sampleSum, sampleWeight float64
	sampledAt               core.Instant
	limit                   float64
	load                    *Load
	loadAt                  core.Instant

	total     rates
	admitting bool
	// sinceChange is when the demand of a target under admission last reached its
	// capacity.
	sinceChange core.Instant
	// trim corrects the shares by what the VMs sent.
	trim float64
	// published is the entry with the given sequence number.
	published   Entry
	publishedAt core.Instant
	sequence    uint64
}

func (t *targetState) observe(now core.Instant, vm core.VM, from *sender, interval time.Duration, o Observation) {
	seconds := interval.Seconds()
	d := t.byVM[vm]
	if d == nil {
		d = &demand{at: now}
		t.byVM[vm] = d
	}
	d.from = from
	measured := rates{demand: float64(o.Demand) / seconds, sent: float64(o.Sent) / seconds, turnedAway: float64(o.TurnedAway) / seconds}
	if o.Load != nil && float64(o.Load.Waiting) <= queuePerSlot*float64(o.Slots) {
		measured.withRoom = measured.turnedAway
	}
	d.add(now, interval, measured)
	t.slots, t.limit = o.Slots, o.Limit
	if o.Samples > 0 {
		t.addSamples(now, o.Samples, o.ServiceTime)
	}
	if o.Load != nil {
		if at := now.Add(-o.Load.Age); t.load == nil || at.After(t.loadAt) {
			t.load, t.loadAt = o.Load, at
		}
	}
}

func (t *targetState) addSamples(now core.Instant, n int, mean time.Duration) {
	if t.sampleWeight > minSampleWeight {
		kept := math.Exp2(-float64(max(0, now.Sub(t.sampledAt))) / float64(sampleHalfLife))
		kept = max(kept, minSampleWeight/t.sampleWeight)
		t.sampleSum, t.sampleWeight = t.sampleSum*kept, t.sampleWeight*kept
	}
	t.sampledAt = now
	t.sampleSum += float64(n) * mean.Seconds()
	t.sampleWeight += float64(n)
}

// serviceTime returns the mean time of a request, or 0 if it is unknown.
func (t *targetState) serviceTime() time.Duration {
	if t.sampleWeight <= 0 {
		return 0
	}
	return time.Duration(t.sampleSum / t.sampleWeight * float64(time.Second))
}

// limitedServiceTime returns the service time, with an announced limit at least the
// one at which all slots together serve the limit.
func (t *targetState) limitedServiceTime() time.Duration {
	d := t.serviceTime()
	if t.limit > 0 {
		d = max(d, min(time.Duration(float64(t.slots)/t.limit*float64(time.Second)), maxServiceTime))
	}
	return d
}

// capacity returns the requests per second that the target can serve, or 0 if that
// is unknown.
func (t *targetState) capacity() float64 {
	d := t.limitedServiceTime()
	if d <= 0 {
		return 0
	}
	return float64(t.slots) / d.Seconds()
}

// reportsRoom reports whether the target's last load report shows free slots.
func (t *targetState) reportsRoom(now core.Instant) bool {
	return t.load != nil && now.Sub(t.loadAt) <= maxLoadAge && t.load.Running+t.load.Waiting < t.slots
}

// attemptCapacity returns the requests per second that may be sent so that the target
// runs as many as it can. It exceeds the capacity for a target that turns requests
// away although its queue is short: these take no time there.
func (t *targetState) attemptCapacity() float64 {
	capacity := t.capacity()
	if t.total.sent <= 0 {
		return capacity
	}
	return capacity / max(minAccepted, 1-t.total.withRoom/t.total.sent)
}

// available returns the requests per second that all VMs together may send: the
// capacity less what brings the queue to its desired length.
func (t *targetState) available(now core.Instant) float64 {
	capacity := t.attemptCapacity()
	queue := 0.0
	if t.load != nil && now.Sub(t.loadAt) <= maxLoadAge {
		queue = float64(t.load.Running+t.load.Waiting) - float64(t.slots)*(1+queuePerSlot)
	}
	out := max(capacity*t.trim-max(0, queue)/drainTime.Seconds(), minCapacityFraction*capacity)
	if t.limit > 0 {
		out = min(out, t.limit)
	}
	return out
}

// refresh computes the rates over all VMs and whether the target is under admission.
// It reports whether the entry changed, and the text of an event, if any. Small changes
// wait until quiet has passed since the last change.
func (t *targetState) refresh(now core.Instant, elapsed, quiet time.Duration) (changed bool, event string) {
	t.total = rates{}
	for vm, d := range t.byVM {
		if now.Sub(d.at) > EntryTTL {
			delete(t.byVM, vm)
			continue
		}
		t.total = t.total.plus(d.now(now), 1)
	}
	event = t.updateAdmission(now, elapsed)
	e := t.shared(now)
	switch {
	case event != "" || t.publishedAt == 0 || farApart(t.published, e):
	case now.Sub(t.publishedAt) >= quiet && differs(t.published, e):
	default:
		return false, ""
	}
	t.published, t.publishedAt = e, now
	return true, event
}

// updateAdmission returns the text of an event if the target comes under admission or
// leaves it.
func (t *targetState) updateAdmission(now core.Instant, elapsed time.Duration) string {
	capacity := t.attemptCapacity()
	room := t.reportsRoom(now)
	if !t.admitting {
		if capacity > 0 && t.total.demand > hotFactor*capacity {
			t.admitting, t.trim, t.sinceChange = true, 1, now
			return "target under admission"
		}
		return ""
	}
	switch {
	case len(t.byVM) > 0 && capacity > 0 && t.total.demand >= capacity:
		t.sinceChange = now
	case len(t.byVM) == 0 || now.Sub(t.sinceChange) >= leaveAfter:
		t.admitting, t.sinceChange = false, now
		return "target no longer under admission"
	}
	switch {
	case room:
		t.trim = min(t.trim+roomTrimRate*elapsed.Seconds(), maxRoomTrim)
	case t.total.sent > capacity:
		t.trim = max(t.trim-trimRate*elapsed.Seconds(), minTrim)
	case t.total.sent < trimBelow*capacity && t.trim < maxTrim:
		t.trim = min(t.trim+trimRate*elapsed.Seconds(), maxTrim)
	}
	if !room && t.trim > maxTrim {
		t.trim = max(t.trim-roomTrimRate*elapsed.Seconds(), maxTrim)
	}
	return ""
}

// shared returns the part of the entry that is the same for all VMs.
func (t *targetState) shared(now core.Instant) Entry {
	e := Entry{ServiceTime: t.serviceTime(), Slots: t.slots, Demand: t.total.demand, TurnedAway: t.total.turnedAway}
	if t.load != nil {
		if age := now.Sub(t.loadAt); age <= maxLoadAge {
			e.Load = &Load{Running: t.load.Running, Waiting: t.load.Waiting, Slowdown: t.load.Slowdown, Age: age}
		}
	}
	return e
}

// entry returns the entry for a VM.
func (t *targetState) entry(now core.Instant, p Process, vm core.VM) Entry {
	e := t.shared(now)
	e.Process = p
	if t.admitting {
		e.Admit = t.admit(now, t.byVM[vm])
	}
	return e
}

// admit returns the requests per second that a VM may send, in proportion to its
// demand. D is nil if the VM has no entry.
func (t *targetState) admit(now core.Instant, d *demand) float64 {
	if t.total.demand <= 0 {
		return 0
	}
	own := unknownDemand
	if d != nil {
		own = max(own, d.now(now).demand)
	}
	available := t.available(now)
	share := available * min(1, own/t.total.demand)
	if t.limit > 0 {
		// A boost could exceed an announced limit.
		return share
	}
	boost := maxBoost
	if spare := t.total.demand - available; spare > 0 {
		boost = min(boost, t.total.demand/spare)
	}
	return share * (1 + (boost-1)/max(1, share/bucketRate))
}

// apart reports whether two values differ by a fraction of the larger one, and by more
// than least.
func apart(x, y, fraction, least float64) bool {
	return math.Abs(x-y) > max(fraction*max(x, y), least)
}

// farApart reports whether two entries differ so much that the VMs need the new one at
// once: the target has become slow, full or idle, or turns requests away.
func farApart(old, e Entry) bool {
	const fraction = 0.3
	return old.Slots != e.Slots || apart(old.ServiceTime.Seconds(), e.ServiceTime.Seconds(), fraction, 0) ||
		apart(atTarget(old), atTarget(e), 0, float64(e.Slots)) || apart(old.TurnedAway, e.TurnedAway, fraction, 1)
}

// differs reports whether two entries differ enough to send the new one. A load report
// is sent again, as it is used only while it is recent.
func differs(old, e Entry) bool {
	const fraction = 0.1
	return e.Load != nil || old.Load != nil ||
		apart(old.ServiceTime.Seconds(), e.ServiceTime.Seconds(), fraction, 0) ||
		apart(old.Demand, e.Demand, fraction, 0.5) || apart(old.TurnedAway, e.TurnedAway, fraction, 0.1)
}

// atTarget returns the requests at the target.
func atTarget(e Entry) float64 {
	if e.Load == nil {
		return 0
	}
	return float64(e.Load.Running + e.Load.Waiting)
}
