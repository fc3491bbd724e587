package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// Status is the state of a coordinator as shown to operators.
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
	// PromisedTo is the holder to which this VM granted its promise.
	PromisedTo   core.VM                          `json:"promised_to,omitempty"`
	PromisedMS   int64                            `json:"promised_ms,omitempty"`
	PromisesMS   map[core.VM]int64                `json:"promises_ms,omitempty"`
	PendingTerm  bool                             `json:"pending_term"`
	MapVersion   string                           `json:"map_version,omitempty"`
	MapHolder    core.VM                          `json:"map_holder,omitempty"`
	Targets      []TargetStatus                   `json:"targets,omitempty"`
	Ranges       map[string]RangeStatus           `json:"ranges,omitempty"`
	MovesPending map[string]core.Target           `json:"moves,omitempty"`
	Members      map[core.VM]MemberStatus         `json:"members"`
	Loads        map[core.Target]TargetLoadStatus `json:"loads,omitempty"`
}

// TargetStatus describes a target: on the holder by the holder's own state, on
// other VMs by the map.
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

// RangeStatus describes a range by the map.
type RangeStatus struct {
	Target core.Target `json:"target,omitempty"`
	State  string      `json:"state"`
}

// MemberStatus describes a VM by this VM's membership view.
type MemberStatus struct {
	FailureDomain core.FailureDomain `json:"failure_domain"`
	Address       string             `json:"address"`
	Live          bool               `json:"live"`
	Leaving       bool               `json:"leaving,omitempty"`
	Incarnation   uint64             `json:"incarnation"`
}

// TargetLoadStatus is the load that a target's front last reported.
type TargetLoadStatus struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Utilisation       float64 `json:"utilisation"`
	Queued            int     `json:"queued"`
}

var stateNames = map[core.RangeState]string{
	core.RangeServing: "serving",
	core.RangeMoving:  "moving",
	core.RangeWaiting: "waiting",
}

func remainingMS(now, until core.Instant) int64 {
	return max(0, until.Sub(now)).Milliseconds()
}

func (c *Coordinator) status(now core.Instant) Status {
	a := &c.authority
	s := Status{
		VM: c.vm, FailureDomain: c.domain, LogOffset: c.logState.Offset,
		PolicyVersion: c.logState.PolicyVersion, Delegation: c.logState.Delegation, Terms: c.logState.Terms,
		Holding: a.holding, Keep: c.policy != nil && a.hasKeepRight(now), Move: c.policy != nil && a.hasMoveRight(now),
		Rank: a.role().Rank, Superseded: a.superseded, LogFresh: a.logFresh(now), PendingTerm: a.pending != nil,
		PromisesMS: make(map[core.VM]int64), Members: make(map[core.VM]MemberStatus),
	}
	if now.Before(a.givenPromise.until) {
		s.PromisedTo, s.PromisedMS = a.givenPromise.to, remainingMS(now, a.givenPromise.until)
	}
	for vm, until := range a.receivedUntil {
		if now.Before(until) {
			s.PromisesMS[vm] = remainingMS(now, until)
		}
	}
	for vm, m := range c.view.Members {
		s.Members[vm] = MemberStatus{
			FailureDomain: m.FailureDomain, Address: m.Address, Live: m.Live,
			Leaving: m.Leaving, Incarnation: m.Incarnation,
		}
	}
	if c.currentMap != nil {
		s.MapVersion, s.MapHolder = c.currentMap.Version.String(), c.currentMap.Holder
		c.addMap(&s)
	}
	return s
}

func (c *Coordinator) addMap(s *Status) {
	s.Ranges = make(map[string]RangeStatus, len(c.currentMap.Ranges))
	for id, r := range c.currentMap.Ranges {
		s.Ranges[id.String()] = RangeStatus{Target: r.Target, State: stateNames[r.State]}
	}
	if c.holder == nil {
		for id, t := range c.currentMap.Targets {
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
	s.Loads = make(map[core.Target]TargetLoadStatus)
	for _, ts := range c.holder.sortedTargets() {
		s.Targets = append(s.Targets, TargetStatus{
			Target: ts.id, Front: ts.front, Witnesses: ts.witnesses, Token: ts.token.String(),
			Incarnation: ts.incarnation, Leaving: ts.isLeaving(), Fenced: ts.fenced,
			Confirmed: ts.confirmed == ts.token, Lost: ts.lost,
		})
		s.Loads[ts.id] = TargetLoadStatus{ts.load.RequestsPerSecond, ts.load.Utilisation, ts.load.Queued}
	}
}
