package grant

import "celeryhook.example/celeryhook/internal/core"

// Status is the state of a grant as shown to operators.
type Status struct {
	Target    core.Target `json:"target"`
	Token     string      `json:"token"`
	Confirmed string      `json:"confirmed"`
	State     string      `json:"state"`
	Ranges    int         `json:"ranges"`
	// HeldMS is the remaining time for which the front may rely on the grant.
	HeldMS      int64  `json:"held_ms"`
	Incarnation uint64 `json:"incarnation"`
}

var stateNames = map[State]string{
	StatePending:    "pending",
	StateHeld:       "held",
	StateLost:       "lost",
	StateSuperseded: "superseded",
	StateRecovered:  "back",
	StateRestarted:  "restarted",
}

func (r *Renewer) status(now core.Instant) []Status {
	out := make([]Status, 0, len(r.targets))
	for _, id := range r.sortedTargets() {
		t := r.targets[id]
		out = append(out, Status{
			Target: id, Token: t.assignment.Token.String(), Confirmed: t.confirmed.String(),
			State: stateNames[t.state()], Ranges: len(t.view.Ranges),
			HeldMS: max(0, t.view.HeldUntil.Sub(now)).Milliseconds(), Incarnation: t.view.Incarnation,
		})
	}
	return out
}
