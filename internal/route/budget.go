package route

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// budgetBurst is the maximum balance of a budget: some requests may be repeated
// after a period of low load, but not so many that they add to an overload.
const budgetBurst = 20

// budget is a token bucket that limits extra attempts to a share of the requests.
type budget struct{ balance float64 }

func newBudget() budget { return budget{balance: budgetBurst} }

func (b *budget) deposit(share float64) { b.balance = min(b.balance+share, budgetBurst) }

func (b *budget) withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// allow reports whether an attempt is permitted: always for a first attempt, and
// within the budget for a hedge or a retry. A request is retried only if it is
// certain that it has not run. An attempt that was routed by an old map does not
// count against the retry budget, as no target has received it.
func (s *service) allow(m Lookup, anyTarget bool, l policy.Limits) bool {
	switch {
	case m.Hedge:
		return anyTarget && s.hedges.withdraw()
	case m.Last == "":
		s.retries.deposit(l.RetryBudget)
		if anyTarget {
			s.hedges.deposit(l.HedgeBudget)
		}
		return true
	case m.Last == core.OutcomeMoved || m.Last == core.OutcomeNoOwner:
		return true
	case m.Last == core.OutcomeNotRun:
		return s.retries.withdraw()
	case m.Last == core.OutcomeOverloaded:
		return anyTarget && s.retries.withdraw()
	}
	return false
}

// hedgeQuantile is the quantile of latencies after which a hedge is sent.
const hedgeQuantile = 0.95

func (s *service) hedgeAfter() time.Duration { return s.latency.Quantile(hedgeQuantile) }

const (
	// MaxAttempts is the maximum number of attempts of a request.
	MaxAttempts = 8
	// MinAttemptTime is the minimum time before the deadline that an attempt
	// needs. Fronts reply to queued requests up to 30 ms before their deadlines;
	// with less time the reply would arrive too late and the outcome would be
	// unknown.
	MinAttemptTime = 60 * time.Millisecond
	// retryDelayStep is the time that a newer map takes to arrive, with a margin.
	retryDelayStep = 20 * time.Millisecond
)

// RetryDelay returns how long an entry VM waits after an outcome before it
// requests the next attempt; attempts is the number so far. The second result is
// false if there must be no further attempt.
func RetryDelay(o core.Outcome, idempotent bool, attempts int) (time.Duration, bool) {
	if !o.NotRun() || o == core.OutcomeBadRequest || attempts >= MaxAttempts {
		return 0, false
	}
	if o == core.OutcomeOverloaded && !idempotent {
		// Only the owner's front may accept it, which has just rejected it.
		return 0, false
	}
	if idempotent && attempts == 1 && (o == core.OutcomeNotRun || o == core.OutcomeOverloaded) {
		// Another target may accept it immediately.
		return 0, true
	}
	return retryDelayStep * time.Duration(attempts), true
}
