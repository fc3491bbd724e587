package grant

import "celeryhook.example/celeryhook/internal/core"

// GrantStatus is what a keeper shows of a grant to operators.
type GrantStatus struct {
	Target    core.Target `json:"target"`
	Token     string      `json:"token"`
	Confirmed string      `json:"confirmed"`
	State     string      `json:"state"`
	Ranges    int         `json:"ranges"`
	// HeldMS is how long the grant may still be relied on.
	HeldMS      int64  `json:"held_ms"`
	Incarnation uint64 `json:"incarnation"`
}

var stateNames = map[State]string{
	StatePending:    "pending",
	StateHeld:       "held",
	StateLost:       "lost",
	StateSuperseded: "superseded",
	StateBack:       "back",
	StateRestarted:  "restarted",
}

func (k *Keeper) status(now core.Instant) []GrantStatus {
	out := make([]GrantStatus, 0, len(k.targets))
	for _, id := range k.sorted() {
		h := k.targets[id]
		out = append(out, GrantStatus{
			Target: id, Token: h.want.Token.String(), Confirmed: h.confirmed.String(),
			State: stateNames[h.state()], Ranges: len(h.view.Ranges),
			HeldMS: max(0, h.view.HeldUntil.Sub(now)).Milliseconds(), Incarnation: h.view.Incarnation,
		})
	}
	return out
}
