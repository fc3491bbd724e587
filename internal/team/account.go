package team

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// mandateAge is how long an account goes on after its ledger was the newest. It
	// covers the switch to another source of the ledger.
	mandateAge = 2 * time.Second
	// asOfError bounds the error of the time at which a copy was the newest.
	asOfError = 600 * time.Millisecond
	// quorumValidity is how long an account goes on after a majority knew nothing
	// newer. quorumInterval is the time between such checks, which start when the
	// ledger is quorumAge old.
	quorumValidity = 1300 * time.Millisecond
	quorumInterval = 500 * time.Millisecond
	quorumAge      = 1300 * time.Millisecond
	// staleLimit is how long a majority can stand in for the store.
	staleLimit = electorateTime - 30*time.Second
	// hintTime is how long the account counts with the number of VMs that another VM
	// knows. All VMs with requests ask more often.
	hintTime = 10 * time.Second
	// refreshInterval is the time between updates of the electorate.
	refreshInterval = time.Second
	// bucketIdleTime is how long a full bucket is kept without use.
	bucketIdleTime = time.Minute
)

// Account is the state machine that issues permits. At any time, at most one VM of
// the deployment issues any: the leader, from when no earlier one can issue any more.
type Account struct {
	limits     Limits
	firstStart bool
	buckets    map[string]*bucket
	configured map[string]quota
	version    int64
	// limited is set if a team has a quota. Otherwise nobody needs permits.
	limited bool

	leading bool
	// emptyEnd is the end of the ledger before its first leader, or -1 if this VM
	// doesn't know it. noPredecessor is set if this VM is the first leader.
	emptyEnd      int64
	noPredecessor bool
	// leadingSince is when the record of the leadership was read, and position the
	// end of the ledger then. openAt is when the account opens, or 0 as long as no
	// majority has the record.
	leadingSince, openAt core.Instant
	position             int64
	era                  int64
	next                 int64
	asOf                 core.Instant
	quorumAt             core.Instant
	quorumRequestedAt    core.Instant
	quorumPending        bool

	// confirmedBy is the number of other VMs that have the record of the leadership.
	confirmedBy int
	electorate  electorate
	updatedAt   core.Instant
	// membersAsOf is when the list of VMs was the newest, or 0 if it was never read.
	membersAsOf core.Instant
	// hint is the largest electorate that a VM told lately. A VM that has restarted
	// doesn't know those that are no longer listed.
	hint   int
	hintAt core.Instant
}

// NewAccount returns an account that issues nothing yet. FirstStart is set if the
// deployment starts for the first time.
func NewAccount(l Limits, firstStart bool) *Account {
	return &Account{
		limits: l, firstStart: firstStart, emptyEnd: -1, buckets: make(map[string]*bucket), configured: make(map[string]quota), electorate: newElectorate(),
	}
}

// Step implements duty.Step.
func (a *Account) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Ask:
		if m.VMs >= a.hint || now.Sub(a.hintAt) > hintTime {
			a.hint, a.hintAt = m.VMs, now
		}
		return []Output{SendReply{To: m.Reply, Reply: a.answer(now, m.Items)}}
	case ConfigChanged:
		a.configChanged(m)
	case MembersChanged:
		a.electorate.changed(now, m.View)
	case MembersRead:
		a.membersAsOf = max(a.membersAsOf, m.AsOf)
	case LedgerRead:
		return a.ledgerRead(now, m)
	case QuorumResult:
		return a.quorumResult(now, m)
	case Tick:
		if now.Sub(a.updatedAt) >= refreshInterval {
			a.updatedAt = now
			a.electorate.update(now)
			a.forget(now)
		}
		if now.Before(a.openAt) && !a.noPredecessor && !a.majority(a.confirmedBy) {
			a.openAt = 0
		}
		return a.checkQuorum(now)
	}
	return nil
}

func (a *Account) configChanged(m ConfigChanged) {
	if m.Version <= a.version {
		return
	}
	a.version, a.limited = m.Version, false
	clear(a.configured)
	for _, t := range m.Teams {
		a.configured[t.Name] = quota{version: m.Version, rate: t.Rate, burst: t.Burst}
		a.limited = a.limited || t.Rate > 0
	}
}

// majority reports whether this VM and a number of others are a majority.
func (a *Account) majority(others int) bool { return 2*(others+1) > max(a.electorate.size(), a.hint) }

func (a *Account) ledgerRead(now core.Instant, m LedgerRead) []Output {
	a.asOf, a.next = max(a.asOf, m.AsOf), m.Next
	switch {
	case m.NoLeader && a.firstStart:
		a.emptyEnd = m.Next
	case !m.Leading && !m.NoLeader:
		a.firstStart, a.emptyEnd = false, -1
	}
	// A store that has lost its newest records may name an earlier leader again.
	if m.Leading == a.leading && (!m.Leading || m.Era == a.era) {
		return nil
	}
	a.era = m.Era
	a.leading, a.openAt, a.noPredecessor = m.Leading, 0, false
	clear(a.buckets)
	if !m.Leading {
		return []Output{Event{Text: "account of the teams closed"}}
	}
	a.noPredecessor = a.emptyEnd >= 0 && m.Next == a.emptyEnd+1
	a.firstStart, a.emptyEnd = false, -1
	a.leadingSince, a.position, a.quorumAt = now, m.Next, 0
	if a.noPredecessor {
		a.openAt = now
		return []Output{Event{Text: "account of the teams open", Fields: []any{"predecessor", false}}}
	}
	return nil
}

// checkQuorum asks the other VMs whether they have the record of the leadership, or,
// when the ledger grows old, whether they know a newer one.
func (a *Account) checkQuorum(now core.Instant) []Output {
	if !a.leading || !a.limited || a.electorate.members == nil || a.membersAsOf == 0 || a.quorumPending || now.Sub(a.quorumRequestedAt) < quorumInterval && a.quorumRequestedAt != 0 {
		return nil
	}
	next := a.position - 1
	if a.openAt != 0 {
		if next = a.next; now.Sub(a.asOf) < quorumAge {
			return nil
		}
	}
	a.quorumPending, a.quorumRequestedAt = true, now
	return []Output{CheckQuorum{Next: next, Members: a.electorate.members.All()}}
}

func (a *Account) quorumResult(now core.Instant, m QuorumResult) []Output {
	a.quorumPending = false
	switch {
	case !a.leading:
	case a.openAt == 0 && m.Next == a.position-1 && a.majority(m.Newer):
		// An earlier leader may have had a fresh ledger, or a majority, until now.
		a.confirmedBy = m.Newer
		a.openAt = max(a.leadingSince.Add(mandateAge+asOfError), now.Add(quorumValidity)).Add(maxLifetime)
		return []Output{Event{Text: "account of the teams opens", Fields: []any{"in_ms", a.openAt.Sub(now).Milliseconds()}}}
	case a.openAt != 0 && m.Next == a.next && a.majority(m.Agreeing):
		a.quorumAt = max(a.quorumAt, m.Started)
	}
	return nil
}

// open reports whether this VM may issue permits.
func (a *Account) open(now core.Instant) bool {
	if !a.leading || a.openAt == 0 || now.Before(a.openAt) {
		return false
	}
	age := now.Sub(a.asOf)
	return age <= mandateAge || age <= staleLimit && a.quorumAt != 0 && now.Sub(a.quorumAt) <= quorumValidity
}

func (a *Account) answer(now core.Instant, items []AskItem) AskReply {
	if !a.open(now) {
		return AskReply{Closed: true}
	}
	out := AskReply{Items: make([]Issued, len(items))}
	for i, v := range items {
		out.Items[i] = a.issue(now, v)
	}
	return out
}

// extraDivisor bounds the permits that a VM gets ahead of its requests, as a part of
// what is left for all VMs.
const extraDivisor = 4

func (a *Account) issue(now core.Instant, v AskItem) Issued {
	b := a.bucket(now, v)
	b.advance(now, a.limits)
	for _, r := range v.Returns {
		if r.Issue.Term == a.position {
			b.takeBack(r.Issue.At, r.Count)
		}
	}
	if b.rate <= 0 {
		return Issued{Count: v.Needed, Issue: Issue{Term: a.position, At: now}}
	}
	available := b.available(now, a.limits)
	n := min(v.Needed, available)
	n += min(v.Extra, (available-n)/extraDivisor)
	out := Issued{Count: n}
	if n > 0 {
		out.Issue = Issue{Term: a.position, At: b.issue(now, n)}
	}
	if n < v.Needed {
		out.RetryAfter = b.promise(now, v.Needed-n, a.limits)
	}
	return out
}

// bucket returns the bucket of a team with the newest quota that is known of it.
func (a *Account) bucket(now core.Instant, v AskItem) *bucket {
	newest := quota{version: v.Version, rate: v.Rate, burst: v.Burst}
	if q, ok := a.configured[v.Team]; ok && q.version >= newest.version {
		newest = q
	}
	b := a.buckets[v.Team]
	if b == nil {
		// An earlier account may have issued all that its bucket held, but nothing in
		// the last maxLifetime before this one opened.
		b = &bucket{quota: newest, levelAt: a.openAt}
		b.level = -b.rate * (smoothing - maxLifetime).Seconds()
		if a.noPredecessor {
			b.level = b.capacity()
		}
		a.buckets[v.Team] = b
	}
	if newest.version > b.version {
		b.quota = newest
	}
	b.usedAt = now
	return b
}

// forget drops the buckets that are full and not in use.
func (a *Account) forget(now core.Instant) {
	for name, b := range a.buckets {
		if now.Sub(b.usedAt) < bucketIdleTime {
			continue
		}
		b.advance(now, a.limits)
		if level, _ := b.state(now, a.limits.Window); len(b.bins) == 0 && level >= b.capacity() {
			delete(a.buckets, name)
		}
	}
}
