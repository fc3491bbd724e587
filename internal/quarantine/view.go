package quarantine

import (
	"sync/atomic"

	"celeryhook.example/celeryhook/internal/core"
)

// View is a snapshot of the suspected requests. It is safe for concurrent use.
type View struct {
	// Digest depends on all evidence, but not on its age.
	Digest    uint64
	suspected map[Fingerprint]*suspect
}

// suspect is a suspected request as the request path sees it.
type suspect struct {
	heldUntil core.Instant
	// trying is set while this VM tries the request.
	trying *atomic.Bool
}

// Empty reports whether no request is suspected, so that no fingerprint is needed.
func (v *View) Empty() bool { return v == nil || len(v.suspected) == 0 }

// Admission says whether a request may be sent.
type Admission struct {
	// Suspected is set if the request is suspected. It may then be sent to one
	// target only.
	Suspected bool
	// Held is set if the request must not be sent before Until.
	Held  bool
	Until core.Instant
	// Done must be called once a suspected request that isn't held has ended.
	Done func()
}

// Admit decides whether a request may be sent. A VM tries a suspected request once
// at a time.
func (v *View) Admit(now core.Instant, f Fingerprint) Admission {
	if v.Empty() {
		return Admission{}
	}
	s, ok := v.suspected[f]
	switch {
	case !ok:
		return Admission{}
	case now.Before(s.heldUntil):
		return Admission{Suspected: true, Held: true, Until: s.heldUntil}
	case !s.trying.CompareAndSwap(false, true):
		return Admission{Suspected: true, Held: true, Until: now.Add(retryWhileTried)}
	}
	return Admission{Suspected: true, Done: func() { s.trying.Store(false) }}
}
