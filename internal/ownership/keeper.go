package ownership

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/roster"
)

// keepersPerTarget is how many VMs renew a target's grants, so that the loss of
// one ends none.
const keepersPerTarget = 2

// Row is a row of units of one owner with one token.
type Row struct {
	Service  core.Service
	From, To int
	Fence    int64
}

// Renew asks for the grants of a target's rows to be renewed, in order.
type Renew struct {
	Holder Holder
	Rows   []Row
	// Verify asks to make sure first that the target was not restarted lately.
	// One that started again under its id must not get the old grant.
	Verify bool
}

// Renewed is the result of a Renew or of a grant that the assigner ordered.
type Renewed struct {
	Holder Holder
	// Answered counts the rows that the target answered, and Refused those of
	// them for which it has seen a higher token.
	Answered, Refused int
	// Restarted is set if the target is cold although the process that the ledger
	// names started long ago. Nothing was renewed then.
	Restarted bool
	// Ended is set if another process answered.
	Ended bool
	// Err is the first error of transport, after which the rest was left out.
	Err error
	// Started is when the renewal was begun.
	Started core.Instant
}

// Missing says that a target refused a request because it doesn't hold the
// key that the ledger gives it.
type Missing struct {
	Service core.Service
	Unit    int
	Target  core.Target
}

// Ordered notes that the assigner of this VM sends a grant.
type Ordered struct{ Target core.Target }

// AskQuorum asks the other members whether they know of records from Next on.
type AskQuorum struct {
	Next    int64
	Members []roster.Member
}

// Quorum is the result of an AskQuorum.
type Quorum struct {
	// Started is when the question was asked.
	Started core.Instant
	// Same counts the other members that have nothing newer.
	Same int
}

// DirectoryRead tells that the registrations were the newest at a time.
type DirectoryRead struct{ AsOf core.Instant }

// Query asks until when a target may hold what this VM renewed. Reply has room
// for one answer.
type Query struct {
	Target core.Target
	Offset int64
	Reply  chan<- QueryReply
}

// QueryReply is the answer to a Query.
type QueryReply struct {
	// Applied is set if the VM's ledger reaches the offset.
	Applied bool
	// Remaining is how long a grant that the VM renewed may still last.
	Remaining time.Duration
	// Same is set if the VM's ledger ends just before the offset and holds all
	// that the VM ever knew, also before a restart.
	Same bool
}

// Answer sends a QueryReply.
type Answer struct {
	To    chan<- QueryReply
	Reply QueryReply
}

func (Renewed) message()       {}
func (Missing) message()       {}
func (Ordered) message()       {}
func (DirectoryRead) message() {}
func (Quorum) message()        {}
func (Query) message()         {}
func (Renew) output()          {}
func (AskQuorum) output()      {}
func (Answer) output()         {}

// Keeper is the state machine that renews grants.
type Keeper struct {
	started core.Instant
	ledger  *View
	asOf    core.Instant
	targets *discovery.View
	members *roster.View
	kept    map[core.Target]*kept
	// directory is the time as of which the registrations are the newest.
	directory core.Instant
	// quorum is when a majority was last asked that had nothing newer.
	quorum  core.Instant
	askedAt core.Instant
	asking  bool
	stale   bool
}

// kept is what the keeper knows of a target.
type kept struct {
	holder Holder
	rows   []Row
	// keeper is set if this VM is one of those that renew.
	keeper bool
	// fence is the highest token that was sent.
	fence   int64
	due     core.Instant
	running bool
	// sent is when the last grant may have left.
	sent core.Instant
	// failed is set after a renewal without an answer.
	failed bool
	// confirmed is when a renewal was last answered.
	confirmed core.Instant
	// doubted is when the target was last seen cold, as after a restart.
	doubted core.Instant
	// ended is set once another process has the target's address.
	ended bool
}

const (
	// confirmedTime is for how long an answered renewal shows that the process
	// is still the same: two renewals of a keeper.
	confirmedTime = 2*RenewInterval + RenewInterval/2
	// doubtTime is how much later than a doubt the directory must have been read
	// to settle it: a restarted target registers within a second, and one that
	// can't reach the directory is missing there after three.
	doubtTime = 4 * time.Second
)

// NewKeeper returns a keeper of nothing. Its process has started by now.
func NewKeeper(now core.Instant) *Keeper {
	return &Keeper{started: now, ledger: &View{}, targets: &discovery.View{}, kept: make(map[core.Target]*kept)}
}

// Step implements duty.Step.
func (k *Keeper) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case LedgerChanged:
		changed := m.View.Next != k.ledger.Next
		k.ledger, k.asOf = m.View, m.AsOf
		if changed {
			k.rebuild()
		}
	case TargetsChanged:
		k.targets = m.View
		k.assign()
	case MembersChanged:
		k.members = m.View
		k.rebuild()
	case Renewed:
		return k.renewed(now, m)
	case Missing:
		return k.missing(now, m)
	case Ordered:
		k.of(m.Target).sent = now
	case Quorum:
		k.asking = false
		if k.members != nil && k.remembers() && 2*(m.Same+1) > k.members.Size() {
			k.quorum = max(k.quorum, m.Started)
		}
	case DirectoryRead:
		k.directory = max(k.directory, m.AsOf)
	case Query:
		return []Output{Answer{To: m.Reply, Reply: k.answer(now, m)}}
	case Tick:
	}
	return k.due(now)
}

func (k *Keeper) of(t core.Target) *kept {
	s := k.kept[t]
	if s == nil {
		s = &kept{}
		k.kept[t] = s
	}
	return s
}

// rebuild lists the rows of each holder by the ledger.
func (k *Keeper) rebuild() {
	if k.members == nil {
		return
	}
	for _, s := range k.kept {
		s.rows = nil
	}
	for name, cells := range k.ledger.Services {
		for row := range cells.Rows() {
			c := row.Cell
			if c.Owner.None() || c.Moving() {
				continue
			}
			s := k.of(c.Owner.Target)
			switch {
			case c.Owner.Born < s.holder.Born:
				// The row still names an earlier process of the target.
				continue
			case !s.holder.Same(c.Owner):
				*s = kept{holder: c.Owner, running: s.running, sent: s.sent}
			}
			s.rows = append(s.rows, Row{Service: name, From: row.From, To: row.To, Fence: c.Fence})
		}
	}
	k.assign()
}

// assign finds the targets of which this VM is a keeper.
func (k *Keeper) assign() {
	if k.members == nil {
		return
	}
	for id, s := range k.kept {
		var domain core.FailureDomain
		if t, ok := k.targets.Targets[id]; ok {
			domain = t.FailureDomain
		}
		s.keeper = len(s.rows) > 0 && k.members.Rank(string(id), domain) < keepersPerTarget
	}
}

// due renews what is due. A process that was replaced holds nothing and is not
// renewed.
func (k *Keeper) due(now core.Instant) []Output {
	out := k.ask(now)
	if !k.mayRenew(now) {
		if !k.stale && k.asOf != 0 {
			k.stale = true
			out = append(out, Event{Text: "ledger too old, renewals stopped", Fields: []any{"age_ms", now.Sub(k.asOf).Milliseconds()}})
		}
		return out
	}
	k.stale = false
	for id, s := range k.kept {
		if !s.keeper || s.running || len(s.rows) == 0 {
			continue
		}
		newest := newestFence(s.rows)
		if now.Before(s.due) && newest <= s.fence {
			continue
		}
		if !k.same(id, s) {
			continue
		}
		verify := s.failed || s.confirmed == 0 || now.Sub(s.confirmed) > confirmedTime
		out = append(out, k.renew(now, s, s.rows, verify))
		s.fence = newest
	}
	return out
}

// mayRenew reports whether no newer record can have taken keys away for long:
// the ledger is fresh, or a majority has nothing newer. Whoever takes keys away
// counts on it.
func (k *Keeper) mayRenew(now core.Instant) bool {
	return k.asOf != 0 && (now.Sub(k.asOf) <= FreshTime || k.quorum != 0 && now.Sub(k.quorum) <= quorumTime)
}

// ask asks the other members once the ledger grows old.
func (k *Keeper) ask(now core.Instant) []Output {
	if k.asOf == 0 || k.members == nil || k.asking || now.Sub(k.asOf) < quorumAge || now.Sub(k.askedAt) < quorumInterval {
		return nil
	}
	k.asking, k.askedAt = true, now
	return []Output{AskQuorum{Next: k.ledger.Next, Members: k.members.All()}}
}

// same reports whether the target's process is, for all that is known, the one
// that the ledger names.
func (k *Keeper) same(id core.Target, s *kept) bool {
	if t, ok := k.targets.Targets[id]; ok && t.Born != s.holder.Born {
		return false
	}
	if s.ended {
		return false
	}
	if s.doubted != 0 && k.directory.Sub(s.doubted) < doubtTime {
		return false
	}
	return true
}

func (k *Keeper) renew(now core.Instant, s *kept, rows []Row, verify bool) Output {
	s.running, s.sent, s.due = true, now, now.Add(RenewInterval)
	if s.doubted != 0 {
		s.doubted, verify = 0, false // settled by the directory
	}
	return Renew{Holder: s.holder, Rows: rows, Verify: verify}
}

func newestFence(rows []Row) int64 {
	var newest int64
	for _, r := range rows {
		newest = max(newest, r.Fence)
	}
	return newest
}

func (k *Keeper) renewed(now core.Instant, m Renewed) []Output {
	s := k.of(m.Holder.Target)
	// The last order may have left as late as now.
	s.running, s.sent = false, now
	if !s.holder.Same(m.Holder) {
		return nil
	}
	if m.Ended {
		s.ended = true
	}
	if m.Restarted {
		s.doubted = now
		return []Output{Event{Text: "target may have restarted, grants not renewed", Fields: []any{"target", m.Holder.Target, "born", m.Holder.Born, "directory_age_ms", now.Sub(k.directory).Milliseconds()}}}
	}
	lost := m.Err != nil
	if m.Answered > 0 {
		s.confirmed = now
	}
	if lost == s.failed && m.Refused == 0 {
		return nil
	}
	changed := lost != s.failed
	s.failed = lost
	fields := []any{"target", m.Holder.Target, "rows", len(s.rows), "refused", m.Refused, "ledger_end", k.ledger.Next, "ledger_age_ms", now.Sub(k.asOf).Milliseconds()}
	switch {
	case lost:
		return []Output{Event{Text: "grants not renewed", Fields: append(fields, "reason", m.Err.Error())}}
	case changed:
		return []Output{Event{Text: "grants renewed again", Fields: fields}}
	}
	return []Output{Event{Text: "target has seen a higher token", Fields: fields}}
}

// missing renews a row at once, whoever its keepers are.
func (k *Keeper) missing(now core.Instant, m Missing) []Output {
	s := k.kept[m.Target]
	if s == nil || s.running || !k.mayRenew(now) || now.Sub(s.sent) < RenewInterval/4 {
		return nil
	}
	if !k.same(m.Target, s) {
		return nil
	}
	for _, r := range s.rows {
		if r.Service == m.Service && r.From <= m.Unit && m.Unit <= r.To {
			return []Output{k.renew(now, s, []Row{r}, true)}
		}
	}
	return nil
}

func (k *Keeper) answer(now core.Instant, q Query) QueryReply {
	if k.ledger.Next < q.Offset {
		return QueryReply{Same: k.ledger.Next == q.Offset-1 && k.remembers()}
	}
	// An earlier process of this VM may have renewed until this one started.
	last := k.started
	if s := k.kept[q.Target]; s != nil {
		if s.running {
			return QueryReply{}
		}
		last = max(last, s.sent)
	}
	return QueryReply{Applied: true, Remaining: max(0, HoldOnAnyClock()-now.Sub(last))}
}

// remembers reports whether the ledger holds all that the VM knew before it
// started: it was the newest at some time since then.
func (k *Keeper) remembers() bool { return k.asOf.After(k.started.Add(staleError)) }
