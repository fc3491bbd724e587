package team

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// expiryMargin is how long before their end permits go back to the account.
	expiryMargin = 60 * time.Millisecond
	// demandTime is the time constant of the estimate of a team's demand at this VM.
	demandTime = 500 * time.Millisecond
	// aheadPart is the part of a permit's lifetime for which a VM asks ahead.
	aheadPart = 0.5
	// askPause is the time between two calls for permits that no request waits for.
	askPause = 40 * time.Millisecond
	// recheckTime is how long a VM believes the account that a quota is used up.
	recheckTime = 100 * time.Millisecond
	// unavailableRetryAfter is the Retry-After time while no account can be reached.
	unavailableRetryAfter = 500 * time.Millisecond
	// askTimeout is when an Ask has failed although nothing says so, as when a ring
	// was full.
	askTimeout = 2 * time.Second
	// probeInterval is the time between calls until an account is reached.
	probeInterval = 200 * time.Millisecond
	// maxRetryAfter bounds what a rejected request is told, however many there are.
	maxRetryAfter = 5 * time.Second
	// holdingIdleTime is how long the state of a team without requests is kept.
	holdingIdleTime = time.Minute
)

// Holder is the state machine of a VM that holds permits.
type Holder struct {
	limits    Limits
	startedAt core.Instant
	configAt  core.Instant
	holdings  map[string]*holding
	// order holds the holdings in the order of their first requests, and due those
	// that the next Ask is for.
	order, due []*holding
	electorate electorate
	updatedAt  core.Instant

	asking  bool
	seq     uint64
	askedAt core.Instant
	asked   []askedItem
	// failed is set if the last Ask failed, and reached once one has not.
	failed, reached bool
	// version and probe are the version of the configuration, and a team with a quota
	// for which this VM asks until an account is reached, or nil.
	version int64
	probe   *Team
}

// holding is the state of one team.
type holding struct {
	quota
	name string
	// due is set while the holding is in Holder.due.
	due     bool
	lots    []lot
	waiters []waiter
	returns []Return
	// demand is an estimate in requests per second, and arrived the number since
	// its last update.
	demand      float64
	arrived     int
	exceeded    core.Instant
	retryAt     core.Instant
	local       []core.Instant
	lastTake    core.Instant
	lastUpdated core.Instant
}

// lot holds permits of one bin.
type lot struct {
	issue   Issue
	expires core.Instant
	count   int
}

// waiter is a request that waits for a permit.
type waiter struct {
	until core.Instant
	reply chan<- Verdict
}

type askedItem struct {
	holding  *holding
	lifetime time.Duration
}

// NewHolder returns a holder without permits.
func NewHolder(l Limits, now core.Instant) *Holder {
	return &Holder{limits: l, startedAt: now, holdings: make(map[string]*holding), electorate: newElectorate()}
}

// Step implements duty.Step.
func (h *Holder) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Take:
		return h.take(now, m)
	case GiveBack:
		return h.giveBack(now, m.Permit)
	case AskDone:
		return h.askDone(now, m)
	case ConfigChanged:
		h.configChanged(m)
	case ConfigRead:
		h.configAt = max(h.configAt, m.AsOf)
	case MembersChanged:
		h.electorate.changed(now, m.View)
	case Tick:
		return h.tick(now)
	}
	return nil
}

func (h *Holder) configChanged(m ConfigChanged) {
	h.version, h.probe = m.Version, nil
	for i := range m.Teams {
		if m.Teams[i].Rate > 0 {
			h.probe = &m.Teams[i]
			return
		}
	}
}

func (h *Holder) take(now core.Instant, m Take) []Output {
	if m.Team.Rate <= 0 {
		return []Output{TakeReply{To: m.Reply, Verdict: Verdict{}}}
	}
	v := h.holding(now, m)
	v.arrived++
	v.lastTake = now
	if p, ok := v.use(now); ok {
		out := []Output{TakeReply{To: m.Reply, Verdict: Verdict{Permit: p}}}
		if 2*v.held() < h.ahead(v) && !now.Before(v.exceeded) {
			h.setDue(v)
			out = append(out, h.ask(now, false)...)
		}
		return out
	}
	if now.Before(v.exceeded) {
		return []Output{TakeReply{To: m.Reply, Verdict: v.reject(now)}}
	}
	if !now.Before(m.Until) {
		return []Output{TakeReply{To: m.Reply, Verdict: Verdict{Outcome: Unavailable, RetryAfter: unavailableRetryAfter}}}
	}
	v.waiters = append(v.waiters, waiter{until: m.Until, reply: m.Reply})
	h.setDue(v)
	return h.ask(now, true)
}

func (h *Holder) setDue(v *holding) {
	if !v.due {
		v.due = true
		h.due = append(h.due, v)
	}
}

// holding returns the state of a team with the newest quota that is known.
func (h *Holder) holding(now core.Instant, m Take) *holding {
	v := h.holdings[m.Team.Name]
	if v == nil {
		v = &holding{name: m.Team.Name, lastUpdated: now, lastTake: now}
		h.holdings[v.name] = v
		h.order = append(h.order, v)
	}
	if m.Version >= v.version {
		v.quota = quota{version: m.Version, rate: m.Team.Rate, burst: m.Team.Burst}
	}
	return v
}

// use takes a permit that is valid.
func (v *holding) use(now core.Instant) (Permit, bool) {
	for len(v.lots) > 0 {
		l := &v.lots[0]
		if l.count > 0 && now.Before(l.expires) {
			l.count--
			return Permit{team: v.name, issue: l.issue, Expires: l.expires, kind: issuedPermit}, true
		}
		v.giveUp(*l)
		v.lots = v.lots[1:]
	}
	return Permit{}, false
}

// giveUp returns the rest of a lot to the account.
func (v *holding) giveUp(l lot) {
	if l.count == 0 {
		return
	}
	if n := len(v.returns); n > 0 && v.returns[n-1].Issue == l.issue {
		v.returns[n-1].Count += l.count
		return
	}
	v.returns = append(v.returns, Return{Issue: l.issue, Count: l.count})
}

func (v *holding) held() int {
	n := 0
	for _, l := range v.lots {
		n += l.count
	}
	return n
}

// ahead returns the number of permits to hold for the expected demand.
func (h *Holder) ahead(v *holding) int {
	return int(v.demand * h.limits.lifetime(v.quota).Seconds() * aheadPart)
}

// reject rejects a request while the quota is exceeded. Requests are told to return
// one after the other.
func (v *holding) reject(now core.Instant) Verdict {
	d := min(max(v.retryAt.Sub(now), time.Millisecond), maxRetryAfter)
	v.retryAt = now.Add(d).Add(seconds(1 / v.rate))
	return Verdict{Outcome: Exceeded, RetryAfter: d}
}

func (h *Holder) giveBack(now core.Instant, p Permit) []Output {
	v := h.holdings[p.team]
	if p.kind != issuedPermit || v == nil {
		return nil
	}
	l := lot{issue: p.issue, expires: p.Expires, count: 1}
	if !now.Before(p.Expires.Add(-expiryMargin)) {
		v.giveUp(l)
		return nil
	}
	v.lots = slices.Insert(v.lots, 0, l)
	return v.serve(now)
}

// serve gives permits to waiting requests.
func (v *holding) serve(now core.Instant) []Output {
	var out []Output
	for len(v.waiters) > 0 {
		p, ok := v.use(now)
		if !ok {
			break
		}
		out = append(out, TakeReply{To: v.waiters[0].reply, Verdict: Verdict{Permit: p}})
		v.waiters = v.waiters[1:]
	}
	return out
}

// ask asks for what is needed, unless an Ask is in progress. Urgent is set if a
// request waits.
func (h *Holder) ask(now core.Instant, urgent bool) []Output {
	if h.asking || !urgent && now.Sub(h.askedAt) < askPause {
		return nil
	}
	var m Ask
	h.asked = h.asked[:0]
	for _, v := range h.due {
		v.due = false
		item := AskItem{Team: v.name, Version: v.version, Rate: v.rate, Burst: v.burst, Needed: len(v.waiters), Returns: v.returns}
		if ahead, held := h.ahead(v), v.held(); 2*held < ahead && !now.Before(v.exceeded) {
			item.Extra = ahead - held
		}
		if item.Needed+item.Extra+len(item.Returns) == 0 && h.reached {
			continue
		}
		v.returns = nil // lost if the Ask fails, as it may have arrived
		m.Items = append(m.Items, item)
		h.asked = append(h.asked, askedItem{holding: v, lifetime: h.limits.lifetime(v.quota)})
	}
	h.due = h.due[:0]
	if len(m.Items) == 0 {
		return nil
	}
	h.asking, h.askedAt = true, now
	h.seq++
	m.Seq, m.VMs = h.seq, h.electorate.size()
	return []Output{m}
}

func (h *Holder) askDone(now core.Instant, m AskDone) []Output {
	if m.Seq != h.seq || !h.asking {
		return nil
	}
	h.asking = false
	h.failed = m.Failed || m.Reply.Closed || len(m.Reply.Items) != len(h.asked)
	if h.failed {
		return nil // the next tick asks again
	}
	var out []Output
	if !h.reached {
		h.reached = true
		out = append(out, AccountReached{})
	}
	for i, r := range m.Reply.Items {
		out = append(out, h.issued(now, h.asked[i], r)...)
		if v := h.asked[i].holding; len(v.waiters) > 0 {
			h.setDue(v)
		}
	}
	for _, v := range h.due {
		if len(v.waiters) > 0 {
			return append(out, h.ask(now, true)...)
		}
	}
	return out
}

// issued handles the permits for one team.
func (h *Holder) issued(now core.Instant, asked askedItem, r Issued) []Output {
	v := asked.holding
	if l := (lot{issue: r.Issue, expires: h.askedAt.Add(asked.lifetime), count: r.Count}); now.Before(l.expires) {
		v.lots = append(v.lots, l)
	} else {
		v.giveUp(l)
	}
	out := v.serve(now)
	if r.RetryAfter <= 0 {
		return out
	}
	v.exceeded = now.Add(min(r.RetryAfter, recheckTime))
	v.retryAt = now.Add(r.RetryAfter)
	for _, w := range v.waiters {
		out = append(out, TakeReply{To: w.reply, Verdict: v.reject(now)})
	}
	v.waiters = nil
	return out
}

func (h *Holder) tick(now core.Instant) []Output {
	if now.Sub(h.updatedAt) >= refreshInterval {
		h.updatedAt = now
		h.electorate.update(now)
	}
	var out []Output
	if h.asking && now.Sub(h.askedAt) > askTimeout {
		h.asking, h.failed = false, true
	}
	if h.probe != nil && !h.reached && now.Sub(h.askedAt) > probeInterval {
		h.setDue(h.holding(now, Take{Team: h.probe, Version: h.version}))
	}
	urgent := false
	h.order = slices.DeleteFunc(h.order, func(v *holding) bool {
		if now.Sub(v.lastTake) <= holdingIdleTime || len(v.waiters)+len(v.lots)+len(v.returns)+len(v.local) > 0 || v.due {
			return false
		}
		delete(h.holdings, v.name)
		return true
	})
	for _, v := range h.order {
		v.updateDemand(now)
		v.lots = slices.DeleteFunc(v.lots, func(l lot) bool {
			if l.count > 0 && now.Before(l.expires.Add(-expiryMargin)) {
				return false
			}
			v.giveUp(l)
			return true
		})
		out = append(out, h.endWaits(now, v)...)
		if len(v.waiters)+len(v.returns) > 0 {
			h.setDue(v)
		}
		urgent = urgent || len(v.waiters) > 0
	}
	return append(out, h.ask(now, urgent)...)
}

func (v *holding) updateDemand(now core.Instant) {
	elapsed := now.Sub(v.lastUpdated)
	if elapsed <= 0 {
		return
	}
	weight := min(1, elapsed.Seconds()/demandTime.Seconds())
	v.demand += weight * (float64(v.arrived)/elapsed.Seconds() - v.demand)
	v.arrived, v.lastUpdated = 0, now
}

// endWaits ends the waits whose time is over, with a permit of the local share if the
// account can't be reached.
func (h *Holder) endWaits(now core.Instant, v *holding) []Output {
	var out []Output
	v.local = slices.DeleteFunc(v.local, func(at core.Instant) bool { return now.Sub(at) > h.limits.Window })
	v.waiters = slices.DeleteFunc(v.waiters, func(w waiter) bool {
		if now.Before(w.until) {
			return false
		}
		verdict := Verdict{Outcome: Unavailable, RetryAfter: unavailableRetryAfter}
		if len(v.local) < h.localShare(now, v) {
			v.local = append(v.local, now.Add(maxLifetime)) // it may be used until then
			verdict = Verdict{Permit: Permit{team: v.name, Expires: now.Add(maxLifetime), kind: localPermit}}
		}
		out = append(out, TakeReply{To: w.reply, Verdict: verdict})
		return true
	})
	return out
}

// localShare returns how many requests of a team this VM may send in a window while it
// can't reach an account. An earlier process of this VM may have used its share.
func (h *Holder) localShare(now core.Instant, v *holding) int {
	if !h.failed || now.Sub(h.startedAt) <= h.limits.Window+maxLifetime || now.Sub(h.configAt) > h.limits.Apply {
		return 0
	}
	return h.limits.localShare(v.quota, h.electorate.size())
}
