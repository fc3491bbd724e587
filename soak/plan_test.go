package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of event.
type Kind string

// Kinds of events. Event.Index selects the VM, the target or the failure domain.
const (
	StopVM      Kind = "stop-vm"      // SIGTERM, and a restart after the exit
	KillVM      Kind = "kill-vm"      // SIGKILL, and a restart later
	PauseVM     Kind = "pause-vm"     // SIGSTOP, and SIGCONT later
	ReloadVM    Kind = "reload-vm"    // SIGHUP
	CutStore    Kind = "cut-store"    // cuts a VM's link to the store
	RejectStore Kind = "refuse-store" // the store rejects the requests of a VM
	ResetStore  Kind = "reset-store"
	ResetCaller Kind = "reset-caller" // resets the callers' connections to a VM

	KillTarget    Kind = "kill-target"    // replaced by a target with another id
	RestartTarget Kind = "restart-target" // replaced by a target with the same id
	DrainTarget   Kind = "drain-target"   // planned drain, replaced by a target with another id
	CutTarget     Kind = "cut-target"
	DelayTarget   Kind = "delay-target"
	ResetTarget   Kind = "reset-target"
	FaultyTarget  Kind = "spoil-target" // responses are dropped and truncated, order replies dropped
	SlowTarget    Kind = "slow-target"

	LeavingTarget Kind = "announce-leaving" // in its responses only, replaced by a target with another id
	PausingTarget Kind = "announce-pause"   // turns requests away and asks for a pause
	LimitedTarget Kind = "announce-limit"   // names a rate limit

	// CrashRequest lets callers send a request that ends each target which begins to
	// run it.
	CrashRequest Kind = "crash-request"

	StoreDown           Kind = "store-down"
	StoreSlow           Kind = "store-slow"
	StoreLosesResponses Kind = "store-loses" // responses to appends are lost
	StoreCompact        Kind = "store-forget"
	// StoreRestored brings the store back from a copy of the event's start, without
	// what the VMs wrote since.
	StoreRestored Kind = "store-restored"

	Configure Kind = "configure"
	Evacuate  Kind = "evacuate" // evacuates a failure domain, and reverts it
)

// weights are the relative frequencies of the kinds. Planned operations are as
// frequent as faults, so that both overlap.
var weights = []struct {
	kind   Kind
	weight int
}{
	{StopVM, 6},
	{KillVM, 4},
	{PauseVM, 4},
	{ReloadVM, 2},
	{CutStore, 4},
	{RejectStore, 3},
	{ResetStore, 2},
	{ResetCaller, 2},
	{KillTarget, 4},
	{RestartTarget, 5},
	{DrainTarget, 5},
	{CutTarget, 4},
	{DelayTarget, 2},
	{ResetTarget, 3},
	{FaultyTarget, 4},
	{SlowTarget, 2},
	{LeavingTarget, 3},
	{PausingTarget, 3},
	{LimitedTarget, 2},
	{CrashRequest, 2},
	{StoreDown, 4},
	{StoreSlow, 2},
	{StoreLosesResponses, 3},
	{StoreCompact, 1},
	{StoreRestored, 2},
	{Configure, 5},
	{Evacuate, 2},
}

// Event is one fault or one planned operation.
type Event struct {
	At   time.Duration
	Kind Kind
	// Index is the index of the VM, the target or the failure domain.
	Index    int
	Duration time.Duration
	// Cut is the direction for the kinds that cut a link.
	Cut Cut
}

func (e Event) String() string {
	return fmt.Sprintf("%7.2fs %-15s %2d for %.2fs cut %d", e.At.Seconds(), e.Kind, e.Index, e.Duration.Seconds(), e.Cut)
}

type Size struct{ VMs, Targets, Domains int }

const (
	// startupTime is the time without events at the beginning, so that the
	// deployment starts undisturbed.
	startupTime = 4 * time.Second
	// meanGap is the mean time between events. Events last up to longestEvent, so
	// that several overlap.
	meanGap       = 1500 * time.Millisecond
	shortestEvent = 300 * time.Millisecond
	longestEvent  = 6 * time.Second
)

// NewPlan returns the events of a seed, sorted by time. Half of the seeds have
// quiet periods, in which planned operations run without faults.
func NewPlan(seed uint64, length time.Duration, size Size) []Event {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	quiet := random.IntN(2) == 0
	var out []Event
	for at := startupTime; at < length; {
		e := Event{At: at, Kind: pickKind(random, total), Cut: Cut(1 + random.IntN(3))}
		e.Duration = shortestEvent + time.Duration(random.Float64()*random.Float64()*float64(longestEvent-shortestEvent))
		e.Index = random.IntN(size.count(e.Kind))
		out = append(out, e)
		if random.IntN(4) == 0 { // the same event again after the first has ended
			again := e
			again.At += e.Duration + time.Duration(random.Float64()*float64(time.Second))
			out = append(out, again)
		}
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if quiet && random.IntN(6) == 0 {
			at += 2 * recoveryTime
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(out, func(e Event) bool { return e.At >= length })
}

func pickKind(random *rand.Rand, total int) Kind {
	n := random.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return weights[0].kind
}

func (s Size) count(k Kind) int {
	switch k {
	case StopVM, KillVM, PauseVM, ReloadVM, CutStore, RejectStore, ResetStore, ResetCaller:
		return s.VMs
	case KillTarget, RestartTarget, DrainTarget, CutTarget, DelayTarget, ResetTarget, FaultyTarget, SlowTarget,
		LeavingTarget, PausingTarget, LimitedTarget:
		return s.Targets
	case Evacuate:
		return s.Domains
	}
	return 1
}
