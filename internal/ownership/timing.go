package ownership

import "time"

const (
	// minGrantDuration and maxGrantDuration bound how long a grant lasts. The
	// former allows for four renewals. The latter bounds how long keys are
	// unavailable when their holder is unreachable.
	minGrantDuration = 1800 * time.Millisecond
	maxGrantDuration = 4 * time.Second
	// grantRequestShare is the share of the longest request, in percent, that a
	// grant outlasts. Few requests take longer, and each second of a grant is one
	// more for which the keys of a lost holder are unavailable.
	grantRequestShare = 67
	// RenewInterval is the time between renewals by one of the two renewers.
	RenewInterval = 450 * time.Millisecond
	// MaxLedgerAge is how long a VM renews grants from a ledger that it cannot
	// refresh. It covers the switch to another source of the ledger.
	MaxLedgerAge = 2 * time.Second
	// quorumValidity is how long a VM continues after a majority of the VMs had
	// no newer records either, as during an outage of the store.
	quorumValidity = 1300 * time.Millisecond
	// quorumCheckInterval is the time between quorum checks, which start when the
	// ledger is quorumCheckAge old.
	quorumCheckInterval = 500 * time.Millisecond
	quorumCheckAge      = 1300 * time.Millisecond
	// majorityWindow is how far apart the replies of a majority may be.
	majorityWindow = time.Second
	// planInterval is the minimum time between plans, as each scans all units.
	planInterval = 50 * time.Millisecond
	// deliveryMargin covers the delay of an order in transit, and maxAsOfError
	// the error of a ledger age that is based on replica.Batch.AsOf.
	deliveryMargin = 300 * time.Millisecond
	maxAsOfError   = 600 * time.Millisecond

	leaderRenewInterval = time.Second
	// leaderTimeout covers two missed renewals of the leadership and the time
	// that records take to spread.
	leaderTimeout = 2500 * time.Millisecond
	// electionStagger keeps VMs from appending at the same time to become leader.
	electionStagger = 250 * time.Millisecond
	// maxAppendAge is the age of the ledger up to which a VM appends.
	maxAppendAge = 2 * time.Second

	// targetsStableTime is how long the number of targets must be unchanged before
	// the first assignment of a service, so that no target is left without keys.
	targetsStableTime = time.Second
	// maxStableWait bounds the wait for targetsStableTime.
	maxStableWait = 4 * time.Second
	// maxRangeUnits is the number of consecutive units that are assigned
	// together. Hot keys are close together, which favours short ranges, but each
	// range needs its own grant.
	maxRangeUnits = 32

	// completionDelay batches completed moves into one append. Requests for their
	// keys wait meanwhile.
	completionDelay = 40 * time.Millisecond

	// appendBackoff is the wait after a failed append.
	appendBackoff = 250 * time.Millisecond

	orderRetryInterval  = 200 * time.Millisecond
	expiryQueryInterval = 300 * time.Millisecond
	maxGrantAttempts    = 4
	// maxActiveMoves bounds the moves that are carried out concurrently.
	maxActiveMoves = 768
)

// longestGrant returns the longest time for which a target may consider a grant
// valid, counted from when it was sent. The platform allows a target's clock to
// run 2% slow, and the grant may arrive late.
func longestGrant(duration time.Duration) time.Duration {
	return duration + duration/50 + deliveryMargin
}
