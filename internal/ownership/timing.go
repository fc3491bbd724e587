package ownership

import "time"

const (
	// Hold is how long a grant lasts. It bounds how long keys wait for a holder
	// that can't be reached; four renewals fit into it.
	Hold = 1800 * time.Millisecond
	// RenewInterval is the time between renewals by one of the two keepers.
	RenewInterval = 450 * time.Millisecond
	// FreshTime is for how long a VM renews by a ledger that it can't refresh. It
	// covers the change to another source of the ledger.
	FreshTime = 2 * time.Second
	// quorumTime is for how long it goes on after a majority of the VMs had
	// nothing newer either, as in an outage of the store.
	quorumTime = 1300 * time.Millisecond
	// quorumInterval is the time between such questions. They begin when the
	// ledger is quorumAge old.
	quorumInterval = 500 * time.Millisecond
	quorumAge      = 1300 * time.Millisecond
	// majorityWindow is how far apart the answers of a majority may lie.
	majorityWindow = time.Second
	// planInterval is the least time between two plans, which look at every unit.
	planInterval = 50 * time.Millisecond
	// lateMargin covers the delay of an order on its way and the wrong ages that
	// replica.Batch.AsOf allows for.
	lateMargin = 300 * time.Millisecond
	staleError = 600 * time.Millisecond

	leadInterval = time.Second
	// leadTimeout is two missed renewals of the lead and the time to spread.
	leadTimeout = 2500 * time.Millisecond
	// leadStagger keeps candidates from appending at the same time.
	leadStagger = 250 * time.Millisecond
	// freshAge is the age of the ledger up to which a VM appends.
	freshAge = 2 * time.Second

	// settleTime is how long the set of targets must be unchanged before the
	// first assignment of a service, so that none is left without keys.
	settleTime = time.Second
	// maxFirstWait bounds that wait.
	maxFirstWait = 4 * time.Second
	// firstRow is the number of neighbouring units that the first assignment
	// keeps together: busy keys lie close together, and each row is granted by
	// itself.
	firstRow = 32

	// settleDelay collects finished moves for one append. Requests for the keys
	// wait meanwhile.
	settleDelay = 40 * time.Millisecond

	// appendBackoff follows an append that failed.
	appendBackoff = 250 * time.Millisecond

	retryOrder  = 200 * time.Millisecond
	retrySettle = 300 * time.Millisecond
	maxGrants   = 4
	// maxTasks bounds the moves that are carried out at a time.
	maxTasks = 256
)

// HoldOnAnyClock is the longest time for which a target may take a grant to
// last: its clock may run 2% slow, as the platform states.
func HoldOnAnyClock() time.Duration { return Hold + Hold/50 + lateMargin }
