package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// Status is what a coordinator shows to operators.
type Status struct {
	VM            core.VM                                 `json:"vm"`
	FailureDomain core.FailureDomain                      `json:"failure_domain"`
	LogOffset     uint64                                  `json:"log_offset"`
	PolicyVersion uint64                                  `json:"policy_version"`
	Delegation    platformlog.Delegation                  `json:"delegation"`
	Terms         map[core.FailureDomain]platformlog.Term `json:"terms"`
	// Holding, Keep and Move are this VM's rights in its failure domain.
	Holding    bool   `json:"holding"`
	Keep       bool   `json:"keep"`
	Move       bool   `json:"move"`
	Rank       uint32 `json:"rank"`
	Superseded bool   `json:"superseded"`
	LogFresh   bool   `json:"log_fresh"`
	// PromisedTo is the holder that this VM gave its promise to.
	PromisedTo   core.VM                   `json:"promised_to,omitempty"`
	PromisedMS   int64                     `json:"promised_ms,omitempty"`
	PromisesMS   map[core.VM]int64         `json:"promises_ms,omitempty"`
	PendingTerm  bool                      `json:"pending_term"`
	MapVersion   string                    `json:"map_version,omitempty"`
	MapHolder    core.VM                   `json:"map_holder,omitempty"`
	Targets      []TargetStatus            `json:"targets,omitempty"`
	Ranges       map[string]RangeStatus    `json:"ranges,omitempty"`
	MovesPending map[string]core.Target    `json:"moves,omitempty"`
	Members      map[core.VM]MemberStatus  `json:"members"`
	Loads        map[core.Target]LoadShown `json:"loads,omitempty"`
}

// TargetStatus is a target as the map or, on a holder, its state shows it.
type TargetStatus struct {
	Target      core.Target `json:"target"`
	Front       core.VM     `json:"front"`
	Witnesses   []core.VM   `json:"witnesses,omitempty"`
	Token       string      `json:"token"`
	Incarnation uint64      `json:"incarnation,omitempty"`
	Leaving     bool        `json:"leaving,omitempty"`
	Fenced      bool        `json:"fenced"`
	Confirmed   bool        `json:"confirmed"`
	Lost        bool        `json:"lost,omitempty"`
}

// RangeStatus is a range as the map shows it.
type RangeStatus struct {
	Target core.Target `json:"target,omitempty"`
	State  string      `json:"state"`
}

// MemberStatus is a VM as this VM sees it.
type MemberStatus struct {
	FailureDomain core.FailureDomain `json:"failure_domain"`
	Address       string             `json:"address"`
	Live          bool               `json:"live"`
	Leaving       bool               `json:"leaving,omitempty"`
	Incarnation   uint64             `json:"incarnation"`
}

// LoadShown is the load that a target's front reported last.
type LoadShown struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Utilisation       float64 `json:"utilisation"`
	Queued            int     `json:"queued"`
}

var stateNames = map[core.RangeState]string{
	core.RangeServing: "serving",
	core.RangeMoving:  "moving",
	core.RangeWaiting: "waiting",
}

func left(now, until core.Instant) int64 {
	return max(0, until.Sub(now)).Milliseconds()
}

func (c *Coordinator) status(now core.Instant) Status {
	a := &c.authority
	s := Status{
		VM: c.vm, FailureDomain: c.domain, LogOffset: c.folded.Offset,
		PolicyVersion: c.folded.PolicyVersion, Delegation: c.folded.Delegation, Terms: c.folded.Terms,
		Holding: a.holding, Keep: c.policy != nil && a.keep(now), Move: c.policy != nil && a.move(now),
		Rank: a.role().Rank, Superseded: a.superseded, LogFresh: a.fresh(now), PendingTerm: a.pending != nil,
		PromisesMS: make(map[core.VM]int64), Members: make(map[core.VM]MemberStatus),
	}
	if now.Before(a.given.until) {
		s.PromisedTo, s.PromisedMS = a.given.to, left(now, a.given.until)
	}
	for vm, until := range a.got {
		if now.Before(until) {
			s.PromisesMS[vm] = left(now, until)
		}
	}
	for vm, m := range c.view.Members {
		s.Members[vm] = MemberStatus{
			FailureDomain: m.FailureDomain, Address: m.Address, Live: m.Live,
			Leaving: m.Leaving, Incarnation: m.Incarnation,
		}
	}
	if c.current != nil {
		s.MapVersion, s.MapHolder = c.current.Version.String(), c.current.Holder
		c.showMap(&s)
	}
	return s
}

func (c *Coordinator) showMap(s *Status) {
	s.Ranges = make(map[string]RangeStatus, len(c.current.Ranges))
	for id, r := range c.current.Ranges {
		s.Ranges[id.String()] = RangeStatus{Target: r.Target, State: stateNames[r.State]}
	}
	if c.holder == nil {
		for id, t := range c.current.Targets {
			s.Targets = append(s.Targets, TargetStatus{
				Target: id, Front: t.Front, Witnesses: t.Witnesses, Token: t.Token.String(),
				Incarnation: t.Incarnation, Leaving: t.Leaving,
			})
		}
		return
	}
	s.MovesPending = make(map[string]core.Target)
	for id, r := range c.holder.ranges {
		if r.moving {
			s.MovesPending[id.String()] = r.to
		}
	}
	s.Loads = make(map[core.Target]LoadShown)
	for _, x := range c.holder.sortedTargets() {
		s.Targets = append(s.Targets, TargetStatus{
			Target: x.id, Front: x.front, Witnesses: x.witnesses, Token: x.token.String(),
			Incarnation: x.incarnation, Leaving: x.leaving(), Fenced: x.fenced,
			Confirmed: x.confirmed == x.token, Lost: x.lost,
		})
		s.Loads[x.id] = LoadShown{x.load.RequestsPerSecond, x.load.Utilisation, x.load.Queued}
	}
}
