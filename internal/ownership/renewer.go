package ownership

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
)

// renewersPerTarget is how many VMs renew a target's grants, so that the loss of
// one VM does not let grants expire.
const renewersPerTarget = 2

// UnitRange is a range of units that have one owner and one fencing token.
type UnitRange struct {
	Service  core.Service
	From, To int
	Token    int64
}

// Renew renews the grants of a target's ranges, in order.
type Renew struct {
	Holder   Holder
	Ranges   []UnitRange
	Duration time.Duration
	// Verify requires a check that the target was not restarted recently. A
	// target restarted under the same id must not get the old grant.
	Verify bool
}

// Renewed is the result of a Renew.
type Renewed struct {
	Holder Holder
	// Responses counts the ranges for which the target responded, and Rejections
	// those of them for which it has seen a higher token.
	Responses, Rejections int
	// Restarted is set if the target is cold although the process in the ledger
	// started long ago. Nothing was renewed then.
	Restarted bool
	// HolderExited is set if another process responded.
	HolderExited bool
	// Err is the first transport error. The remaining ranges were skipped.
	Err error
	// Started is when the renewal started.
	Started core.Instant
}

// GrantMissing reports that a target rejected a request because it does not hold
// a key that the ledger assigns to it.
type GrantMissing struct {
	Service core.Service
	Unit    int
	Target  core.Target
}

// GrantSent reports that this VM's assigner is sending a grant.
type GrantSent struct{ Target core.Target }

// CheckQuorum asks the other members whether they have records from Next on.
type CheckQuorum struct {
	Next    int64
	Members []roster.Member
}

// QuorumResult is the result of a CheckQuorum.
type QuorumResult struct {
	// Started is when the check started.
	Started core.Instant
	// Agreeing counts the other members that have no newer records, and Newer those
	// that have.
	Agreeing, Newer int
}

// DirectoryRead reports a time at which the known registrations were current.
type DirectoryRead struct{ AsOf core.Instant }

// GrantQuery asks until when a target, or any target if none is given, may hold
// grants that this VM renewed. Reply must be buffered.
type GrantQuery struct {
	Target core.Target
	Offset int64
	Reply  chan<- GrantQueryReply
}

// GrantQueryReply is the reply to a GrantQuery.
type GrantQueryReply struct {
	// Applied is set if the VM's ledger reaches the offset.
	Applied bool
	// Remaining is how long a grant that the VM renewed may still last.
	Remaining time.Duration
	// NothingNewer is set if the VM's ledger ends before the offset and contains
	// everything that the VM ever knew, including before a restart.
	NothingNewer bool
}

// SendReply sends a GrantQueryReply.
type SendReply struct {
	To    chan<- GrantQueryReply
	Reply GrantQueryReply
}

func (Renewed) message()       {}
func (GrantMissing) message()  {}
func (GrantSent) message()     {}
func (DirectoryRead) message() {}
func (QuorumResult) message()  {}
func (GrantQuery) message()    {}
func (Renew) output()          {}
func (CheckQuorum) output()    {}
func (SendReply) output()      {}

// Renewer is the state machine that renews grants.
type Renewer struct {
	startedAt core.Instant
	ledger    *View
	asOf      core.Instant
	// eraSince is when this VM applied the first ledger of its era.
	eraSince     core.Instant
	targets      *discovery.View
	members      *roster.View
	targetStates map[core.Target]*targetState
	// newestProcess is the start of the latest process that was registered under each
	// id that is registered or holds keys.
	newestProcess map[core.Target]int64
	// directoryAsOf is the latest time at which the registrations were current.
	directoryAsOf core.Instant
	// quorumAt is the start of the last check in which a majority had no newer
	// records.
	quorumAt          core.Instant
	quorumRequestedAt core.Instant
	quorumPending     bool
	stale             bool
}

// targetState is what the renewer knows of a target.
type targetState struct {
	holder Holder
	ranges []UnitRange
	// renews is set if this VM is one of the target's renewers.
	renews bool
	// sentToken is the highest fencing token sent.
	sentToken int64
	renewAt   core.Instant
	inFlight  bool
	// sentAt is the latest time at which a grant may have been sent.
	sentAt core.Instant
	// failed is set after a renewal with a transport error.
	failed bool
	// confirmedAt is when the target last responded to a renewal.
	confirmedAt core.Instant
	// suspectedAt is when the target was last found cold, as after a restart.
	suspectedAt core.Instant
	// exited is set once another process has responded at the target's address.
	exited bool
}

const (
	// confirmationTTL is how long a response to a renewal shows that the process
	// is still the same. It allows for two renewals by one renewer.
	confirmationTTL = 2*RenewInterval + RenewInterval/2
	// restartResolveTime is how long after a suspected restart the directory must
	// have been read to resolve it. A restarted target registers within a second,
	// and one that cannot reach the directory is removed from it after three.
	restartResolveTime = 4 * time.Second
)

// NewRenewer returns a renewer without grants. The VM process must have started
// no later than now.
func NewRenewer(now core.Instant) *Renewer {
	return &Renewer{startedAt: now, ledger: &View{}, targets: &discovery.View{}, targetStates: make(map[core.Target]*targetState), newestProcess: make(map[core.Target]int64)}
}

// Step implements duty.Step.
func (r *Renewer) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case LedgerChanged:
		changed := m.View.Next != r.ledger.Next
		if replica.Era(m.View.Next) != replica.Era(r.ledger.Next) {
			r.eraSince = now
		}
		r.ledger = m.View
		if r.ledger.InForce() {
			r.asOf = m.AsOf
		}
		if changed {
			r.rebuildRanges()
		}
	case TargetsChanged:
		r.targets = m.View
		r.recordProcesses()
		r.selectTargets()
	case MembersChanged:
		r.members = m.View
		r.rebuildRanges()
	case Renewed:
		return r.renewed(now, m)
	case GrantMissing:
		return r.grantMissing(now, m)
	case GrantSent:
		r.state(m.Target).sentAt = now
	case QuorumResult:
		r.quorumPending = false
		if r.members != nil && r.caughtUp() && 2*(m.Agreeing+1) > r.members.Size() {
			r.quorumAt = max(r.quorumAt, m.Started)
		}
	case DirectoryRead:
		r.directoryAsOf = max(r.directoryAsOf, m.AsOf)
	case GrantQuery:
		return []Output{SendReply{To: m.Reply, Reply: r.grantQuery(now, m)}}
	case Tick:
	}
	return r.renewDue(now)
}

func (r *Renewer) state(t core.Target) *targetState {
	s := r.targetStates[t]
	if s == nil {
		s = &targetState{}
		r.targetStates[t] = s
	}
	return s
}

// rebuildRanges rebuilds the ranges of every holder from the ledger.
func (r *Renewer) rebuildRanges() {
	if r.members == nil {
		return
	}
	for _, s := range r.targetStates {
		s.ranges = nil
	}
	for name, assignments := range r.ledger.Services {
		for ar := range assignments.Ranges() {
			assignment := ar.Assignment
			if assignment.Owner.IsZero() || assignment.Moving() {
				continue
			}
			s := r.state(assignment.Owner.Target)
			switch {
			case assignment.Owner.StartedAt < s.holder.StartedAt:
				// The range still names an earlier process of the target.
				continue
			case !s.holder.SameProcess(assignment.Owner):
				*s = targetState{holder: assignment.Owner, inFlight: s.inFlight, sentAt: s.sentAt}
			}
			s.ranges = append(s.ranges, UnitRange{Service: name, From: ar.From, To: ar.To, Token: assignment.Token})
		}
	}
	r.selectTargets()
}

// selectTargets determines which targets this VM renews.
func (r *Renewer) selectTargets() {
	if r.members == nil {
		return
	}
	for id, s := range r.targetStates {
		var domain core.FailureDomain
		if t, ok := r.targets.Targets[id]; ok {
			domain = t.FailureDomain
		}
		s.renews = len(s.ranges) > 0 && r.members.Rank(string(id), domain) < renewersPerTarget
	}
}

// recordProcesses updates newestProcess, which outlasts a registration.
func (r *Renewer) recordProcesses() {
	for id, t := range r.targets.Targets {
		r.newestProcess[id] = max(r.newestProcess[id], t.StartedAt)
	}
	for id := range r.newestProcess {
		if s := r.targetStates[id]; r.targets.Targets[id] == nil && (s == nil || len(s.ranges) == 0) {
			delete(r.newestProcess, id)
		}
	}
}

// renewDue renews the grants that are due. Processes that were replaced hold
// nothing and are skipped.
func (r *Renewer) renewDue(now core.Instant) []Output {
	out := r.checkQuorum(now)
	if !r.mayRenew(now) {
		if !r.stale && r.asOf != 0 {
			r.stale = true
			out = append(out, Event{Text: "ledger too old, renewals stopped", Fields: []any{"age_ms", now.Sub(r.asOf).Milliseconds()}})
		}
		return out
	}
	r.stale = false
	for id, s := range r.targetStates {
		if !s.renews || s.inFlight || len(s.ranges) == 0 {
			continue
		}
		token := maxToken(s.ranges)
		if now.Before(s.renewAt) && token <= s.sentToken {
			continue
		}
		if !r.sameProcess(id, s) {
			continue
		}
		verify := s.failed || s.confirmedAt == 0 || now.Sub(s.confirmedAt) > confirmationTTL
		out = append(out, r.renew(now, s, s.ranges, verify))
		s.sentToken = token
	}
	return out
}

// mayRenew reports whether the ledger is recent enough to renew grants, or a
// majority recently had no newer records. Assigner.grantsExpired relies on this
// bound.
func (r *Renewer) mayRenew(now core.Instant) bool {
	if r.ledger.Restored == Unconfirmed {
		return false
	}
	return r.asOf != 0 && (now.Sub(r.asOf) <= MaxLedgerAge || r.quorumAt != 0 && now.Sub(r.quorumAt) <= quorumValidity)
}

// checkQuorum starts a quorum check if the ledger is old enough for one.
func (r *Renewer) checkQuorum(now core.Instant) []Output {
	if r.asOf == 0 || r.members == nil || r.quorumPending || now.Sub(r.asOf) < quorumCheckAge || now.Sub(r.quorumRequestedAt) < quorumCheckInterval {
		return nil
	}
	r.quorumPending, r.quorumRequestedAt = true, now
	return []Output{CheckQuorum{Next: r.ledger.Next, Members: r.members.All()}}
}

// sameProcess reports whether the target's process is, as far as is known, still
// the one in the ledger.
func (r *Renewer) sameProcess(id core.Target, s *targetState) bool {
	t, registered := r.targets.Targets[id]
	if registered && t.StartedAt != s.holder.StartedAt || r.newestProcess[id] > s.holder.StartedAt {
		return false
	}
	if !registered && s.confirmedAt == 0 {
		// A VM that has just started may see neither the end of the process's
		// registration nor the next process.
		return false
	}
	if s.exited {
		return false
	}
	if s.suspectedAt != 0 && r.directoryAsOf.Sub(s.suspectedAt) < restartResolveTime {
		return false
	}
	return true
}

func (r *Renewer) renew(now core.Instant, s *targetState, ranges []UnitRange, verify bool) Output {
	s.inFlight, s.sentAt, s.renewAt = true, now, now.Add(RenewInterval)
	if s.suspectedAt != 0 {
		s.suspectedAt, verify = 0, false // resolved by the directory
	}
	return Renew{Holder: s.holder, Ranges: ranges, Duration: r.ledger.GrantDuration(), Verify: verify}
}

func maxToken(ranges []UnitRange) int64 {
	var highest int64
	for _, r := range ranges {
		highest = max(highest, r.Token)
	}
	return highest
}

func (r *Renewer) renewed(now core.Instant, m Renewed) []Output {
	s := r.state(m.Holder.Target)
	// The last grant may have been sent as late as now.
	s.inFlight, s.sentAt = false, now
	if !s.holder.SameProcess(m.Holder) {
		return nil
	}
	if m.HolderExited {
		s.exited = true
	}
	if m.Restarted {
		s.suspectedAt = now
		return []Output{Event{Text: "target may have restarted, grants not renewed", Fields: []any{"target", m.Holder.Target, "born", m.Holder.StartedAt, "directory_age_ms", now.Sub(r.directoryAsOf).Milliseconds()}}}
	}
	failed := m.Err != nil
	if m.Responses > 0 {
		s.confirmedAt = now
	}
	if failed == s.failed && m.Rejections == 0 {
		return nil
	}
	changed := failed != s.failed
	s.failed = failed
	fields := []any{"target", m.Holder.Target, "rows", len(s.ranges), "refused", m.Rejections, "ledger_end", r.ledger.Next, "ledger_age_ms", now.Sub(r.asOf).Milliseconds()}
	switch {
	case failed:
		return []Output{Event{Text: "grants not renewed", Fields: append(fields, "reason", m.Err.Error())}}
	case changed:
		return []Output{Event{Text: "grant renewal recovered", Fields: fields}}
	}
	return []Output{Event{Text: "target rejected grants with an outdated token", Fields: fields}}
}

// grantMissing renews a range at once, even if this VM is not one of the
// target's renewers.
func (r *Renewer) grantMissing(now core.Instant, m GrantMissing) []Output {
	s := r.targetStates[m.Target]
	if s == nil || s.inFlight || !r.mayRenew(now) || now.Sub(s.sentAt) < RenewInterval/4 {
		return nil
	}
	if !r.sameProcess(m.Target, s) {
		return nil
	}
	for _, ur := range s.ranges {
		if ur.Service == m.Service && ur.From <= m.Unit && m.Unit <= ur.To {
			return []Output{r.renew(now, s, []UnitRange{ur}, true)}
		}
	}
	return nil
}

func (r *Renewer) grantQuery(now core.Instant, q GrantQuery) GrantQueryReply {
	if r.ledger.Next < q.Offset {
		return GrantQueryReply{NothingNewer: r.caughtUp()}
	}
	// An earlier process of this VM may have renewed until this one started.
	last, duration := r.startedAt, r.ledger.GrantDuration()
	if q.Target == "" {
		// Asked after a loss of records, one of which may have prolonged the grants.
		duration = maxGrantDuration
		for _, s := range r.targetStates {
			if s.inFlight && s.renewAt.Add(-RenewInterval).Before(r.eraSince) {
				return GrantQueryReply{} // it still renews by the ledger of an earlier era
			}
			if last = max(last, s.sentAt); s.inFlight {
				last = now
			}
		}
	} else if s := r.targetStates[q.Target]; s != nil {
		if s.inFlight {
			return GrantQueryReply{}
		}
		last = max(last, s.sentAt)
	}
	return GrantQueryReply{Applied: true, Remaining: max(0, longestGrant(duration)-now.Sub(last))}
}

// caughtUp reports whether the ledger contains everything that the VM knew before
// it started, which is so once it was current at some time since then.
func (r *Renewer) caughtUp() bool { return r.asOf.After(r.startedAt.Add(maxAsOfError)) }
