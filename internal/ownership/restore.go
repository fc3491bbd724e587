package ownership

import (
	"cmp"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/replica"
)

// Confirmation states how much of the ledger was confirmed by the VMs when it was
// written again because the store had lost its newest records.
type Confirmation uint8

const (
	// ConfirmedByAll: the leader wrote it, and no VM knew anything newer.
	ConfirmedByAll Confirmation = iota
	// ConfirmedByMajority: a majority knew nothing newer. Another VM may have moved
	// keys by records that are lost, so grants are renewed but no keys are moved.
	ConfirmedByMajority
	// Unconfirmed: too few VMs knew anything, as after all of them restarted. Grants
	// are not renewed.
	Unconfirmed
)

func (c Confirmation) String() string {
	return [...]string{"all", "majority", "none"}[min(c, Unconfirmed)]
}

const (
	// restoreQueryInterval is the time between queries whether other VMs know newer
	// records.
	restoreQueryInterval = 200 * time.Millisecond
	// restoreMajorityAge is how long after a loss was noticed the agreement of a
	// majority suffices, and restoreTimeout how long after it the ledger is restored
	// without agreement.
	restoreMajorityAge = 400 * time.Millisecond
	restoreTimeout     = 1500 * time.Millisecond
	// restoreDelay is how long the VMs other than the leader wait for the leader to
	// restore the ledger. They then try one after the other, electionStagger apart;
	// those from restoreRanks on try together.
	restoreDelay = 600 * time.Millisecond
	restoreRanks = 8
)

// restoration is the state of the assigner while the ledger is not confirmed by
// all VMs after the store lost its newest records.
type restoration struct {
	// era is the era of the store that lacks a ledger, and lostAt is when this VM
	// noticed.
	era          int64
	lostAt       core.Instant
	queryPending bool
	queriedAt    core.Instant
	// wait tracks when all grants under lost records have expired, once the ledger
	// is restored without the confirmation of all VMs.
	wait *eviction
}

// restoreLedger queries whether this VM's ledger is the newest that is known, as
// long as the store has none for its era.
func (a *Assigner) restoreLedger(now core.Instant) []Output {
	r := &a.restoration
	if era := replica.Era(a.ledger.StreamEnd); r.lostAt == 0 || r.era != era {
		*r = restoration{era: era, lostAt: now}
	}
	if a.appendPending || now.Before(a.appendRetryAt) || a.members == nil || now.Sub(a.streamAsOf) >= maxAppendAge {
		return nil
	}
	rank := time.Duration(min(a.members.CapacityRank(leaderKey, ""), restoreRanks))
	age := now.Sub(r.lostAt)
	if a.firstStart && a.ledger.Leader.VM == "" && replica.Index(a.ledger.StreamEnd) == 0 {
		if age < rank*electionStagger {
			return nil
		}
		return a.appendLedger(now, ConfirmedByAll, false) // no record was ever written
	}
	if !a.leading && age < restoreDelay+rank*electionStagger {
		return nil
	}
	if r.queryPending || now.Sub(r.queriedAt) < restoreQueryInterval {
		return nil
	}
	r.queryPending, r.queriedAt = true, now
	return []Output{CheckQuorum{Next: a.ledger.Next, Members: a.members.All()}}
}

// quorumResult restores the ledger if enough VMs know nothing newer.
func (a *Assigner) quorumResult(now core.Instant, m QuorumResult) []Output {
	r := &a.restoration
	r.queryPending = false
	if a.ledger.InForce() || a.appendPending || a.members == nil {
		return nil
	}
	age := now.Sub(r.lostAt)
	// A VM that restarted may have known more before.
	caughtUp := a.asOf.After(a.startedAt.Add(maxAsOfError))
	majority := caughtUp && 2*(m.Agreeing+1) > a.members.Size()
	var c Confirmation
	switch {
	case majority && a.leading && m.Agreeing+1 == a.members.Size():
		c = ConfirmedByAll
	case majority && (m.Newer == 0 && age >= restoreMajorityAge || age >= restoreTimeout):
		c = ConfirmedByMajority
	case age >= restoreTimeout:
		c = Unconfirmed
	default:
		return nil
	}
	return a.appendLedger(now, c, false)
}

// confirmLedger waits until no target can hold a grant under a record that is lost,
// and then writes the ledger with new fencing tokens. The leader moves no keys
// before.
func (a *Assigner) confirmLedger(now core.Instant) []Output {
	r := &a.restoration
	if r.wait == nil {
		r.wait = &eviction{evictedHolder: &evictedHolder{unresponsive: true}, recordedAt: now, offset: a.ledger.Next, appliedAt: make(map[core.VM]core.Instant)}
	}
	if a.grantsExpired(now, r.wait, maxGrantDuration) {
		if a.appendPending || now.Before(a.appendRetryAt) || !a.ledgerFresh(now) {
			return nil
		}
		return a.appendLedger(now, ConfirmedByAll, true)
	}
	if now.Sub(r.wait.queriedAt) < expiryQueryInterval {
		return nil
	}
	r.wait.queriedAt = now
	return []Output{QueryGrantExpiry{Evictions: []Eviction{{Offset: r.wait.offset}}, Members: a.members.All()}}
}

// appendLedger writes the whole ledger, with new fencing tokens if they are asked
// for. The leader's record comes last, as the ledger is in force with it.
func (a *Assigner) appendLedger(now core.Instant, c Confirmation, newTokens bool) []Output {
	base := a.ledger
	if s := base.stored; s != nil && (base.Next == 0 || replica.Index(s.Next) > replica.Index(base.Next)) {
		base = s // this VM has missed records that the store still holds
	}
	if !newTokens {
		c = max(c, base.Restored) // what an earlier loss left unconfirmed stays so
	}
	era, token := replica.Era(a.ledger.StreamEnd), a.ledger.StreamEnd+1
	var records []replica.Record
	for name, assignments := range base.Services {
		if newTokens {
			assignments = assignments.withToken(token)
		}
		for block := range numBlocks {
			r, err := encodeBlock(name, block, assignments, era)
			if err != nil {
				return []Output{Event{Text: "failed to encode assignments", Fields: []any{"reason", err.Error()}}}
			}
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(x, y replica.Record) int { return cmp.Compare(x.Key, y.Key) })
	leader, err := encodeLeader(a.self, a.grantDuration(), era, c)
	if err != nil {
		return []Output{Event{Text: "failed to encode leader record", Fields: []any{"reason", err.Error()}}}
	}
	a.leaderAttempt = now
	out := a.append(now, append(records, leader))
	return append(out, Event{Text: "ledger written again", Fields: []any{
		"era", era, "end", replica.Index(a.ledger.StreamEnd), "known_era", replica.Era(base.Next), "known_end", replica.Index(base.Next),
		"records", len(records), "confirmed_by", c.String(), "new_tokens", newTokens,
	}})
}

// rewriteOverwritten writes the ledger again if an append that was meant for an
// earlier era has replaced some of its records in the store.
func (a *Assigner) rewriteOverwritten(now core.Instant) []Output {
	if a.ledger.Overwritten <= a.rewrittenTo || a.appendPending || now.Before(a.appendRetryAt) || !a.ledgerFresh(now) {
		return nil
	}
	a.rewrittenTo = a.ledger.Overwritten
	return a.appendLedger(now, a.ledger.Restored, false)
}
