package route

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// budgetBurst bounds what a budget saves up: some requests may be repeated
// after a quiet time, but not a burst that adds to an overload.
const budgetBurst = 20

// budget allows extra attempts as a share of the requests.
type budget struct{ saved float64 }

func newBudget() budget { return budget{saved: budgetBurst} }

func (b *budget) earn(share float64) { b.saved = min(b.saved+share, budgetBurst) }

func (b *budget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// allow decides whether there may be an attempt: always a first one, a hedge
// or a retry within its budget. A request is tried again only if it has proven
// not to have run. A request that met an old map goes on to another front
// without a retry: no target has seen it.
func (s *service) allow(m Lookup, anyTarget bool, l policy.Limits) bool {
	switch {
	case m.Hedge:
		return anyTarget && s.hedges.spend()
	case m.Last == "":
		s.retries.earn(l.RetryBudget)
		if anyTarget {
			s.hedges.earn(l.HedgeBudget)
		}
		return true
	case m.Last == core.OutcomeMoved || m.Last == core.OutcomeNoOwner:
		return true
	case m.Last == core.OutcomeNotRun:
		return s.retries.spend()
	case m.Last == core.OutcomeOverloaded:
		return anyTarget && s.retries.spend()
	}
	return false
}

// hedgeQuantile is the share of responses that come before a hedge is sent.
const hedgeQuantile = 0.95

func (s *service) hedgeAfter() time.Duration { return s.latency.Quantile(hedgeQuantile) }

const (
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts = 8
	// MinAttempt is the least time left for an attempt. Fronts answer waiting
	// requests up to 30 ms before their deadlines; with less time the answer
	// would come too late and the outcome be unknown.
	MinAttempt = 60 * time.Millisecond
	// retryPause is how long a newer map takes to arrive, with a margin.
	retryPause = 20 * time.Millisecond
)

// Pause returns how long an entry VM waits before it asks for the next attempt
// after an outcome; attempts is the number so far. The second result is false
// if there is to be none.
func Pause(o core.Outcome, idempotent bool, attempts int) (time.Duration, bool) {
	if !o.NotRun() || o == core.OutcomeBadRequest || attempts >= MaxAttempts {
		return 0, false
	}
	if o == core.OutcomeOverloaded && !idempotent {
		// Only its own front may take it, which has just refused it.
		return 0, false
	}
	if idempotent && attempts == 1 && (o == core.OutcomeNotRun || o == core.OutcomeOverloaded) {
		// Another target may take it at once.
		return 0, true
	}
	return retryPause * time.Duration(attempts), true
}
