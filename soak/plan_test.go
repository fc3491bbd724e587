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

// Kinds of events. Those of VMs, of links and of targets name one of them.
const (
	StopVM      Kind = "stop-vm"      // SIGTERM, and a new process after it ended
	KillVM      Kind = "kill-vm"      // SIGKILL, and a new process later
	PauseVM     Kind = "pause-vm"     // SIGSTOP, and SIGCONT later
	ReloadVM    Kind = "reload-vm"    // SIGHUP
	CutStore    Kind = "cut-store"    // a VM's link to the store
	RefuseStore Kind = "refuse-store" // the store turns a VM away
	ResetStore  Kind = "reset-store"
	ResetCaller Kind = "reset-caller" // the callers' connections to a VM

	KillTarget    Kind = "kill-target"    // another process under another id follows
	RestartTarget Kind = "restart-target" // another process under the same id follows
	DrainTarget   Kind = "drain-target"   // it leaves as planned, and another follows
	CutTarget     Kind = "cut-target"
	DelayTarget   Kind = "delay-target"
	ResetTarget   Kind = "reset-target"
	SpoilTarget   Kind = "spoil-target" // answers are lost and cut, orders unanswered
	SlowTarget    Kind = "slow-target"

	StoreDown   Kind = "store-down"
	StoreSlow   Kind = "store-slow"
	StoreLoses  Kind = "store-loses" // answers of appends
	StoreForget Kind = "store-forget"

	Configure Kind = "configure"
	Evacuate  Kind = "evacuate" // a failure domain, and back
)

// weights are the relative frequencies of the kinds. Planned work is as
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
	{RefuseStore, 3},
	{ResetStore, 2},
	{ResetCaller, 2},
	{KillTarget, 4},
	{RestartTarget, 5},
	{DrainTarget, 5},
	{CutTarget, 4},
	{DelayTarget, 2},
	{ResetTarget, 3},
	{SpoilTarget, 4},
	{SlowTarget, 2},
	{StoreDown, 4},
	{StoreSlow, 2},
	{StoreLoses, 3},
	{StoreForget, 1},
	{Configure, 5},
	{Evacuate, 2},
}

// Event is one disturbance or one piece of planned work.
type Event struct {
	At   time.Duration
	Kind Kind
	// Subject is the index of a VM, a target or a failure domain.
	Subject int
	For     time.Duration
	// Cut is the direction of a cut.
	Cut Cut
}

func (e Event) String() string {
	return fmt.Sprintf("%7.2fs %-15s %2d for %.2fs cut %d", e.At.Seconds(), e.Kind, e.Subject, e.For.Seconds(), e.Cut)
}

// Size is the size of a deployment.
type Size struct{ VMs, Targets, Domains int }

const (
	// settleTime is left before the first event, so that the deployment starts
	// undisturbed.
	settleTime = 4 * time.Second
	// meanGap is the mean time between events. Disturbances last up to
	// longestEvent, so that several overlap.
	meanGap       = 1500 * time.Millisecond
	shortestEvent = 300 * time.Millisecond
	longestEvent  = 6 * time.Second
)

// NewPlan returns the events of a seed, in order of their time. Half of the
// seeds have quiet spells, in which planned work happens undisturbed.
func NewPlan(seed uint64, length time.Duration, size Size) []Event {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	calm := random.IntN(2) == 0
	var out []Event
	for at := settleTime; at < length; {
		e := Event{At: at, Kind: pick(random, total), Cut: Cut(1 + random.IntN(3))}
		e.For = shortestEvent + time.Duration(random.Float64()*random.Float64()*float64(longestEvent-shortestEvent))
		e.Subject = random.IntN(size.count(e.Kind))
		out = append(out, e)
		if random.IntN(4) == 0 { // once more, in series
			again := e
			again.At += e.For + time.Duration(random.Float64()*float64(time.Second))
			out = append(out, again)
		}
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if calm && random.IntN(6) == 0 {
			at += 2 * contact
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(out, func(e Event) bool { return e.At >= length })
}

func pick(random *rand.Rand, total int) Kind {
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
	case StopVM, KillVM, PauseVM, ReloadVM, CutStore, RefuseStore, ResetStore, ResetCaller:
		return s.VMs
	case KillTarget, RestartTarget, DrainTarget, CutTarget, DelayTarget, ResetTarget, SpoilTarget, SlowTarget:
		return s.Targets
	case Evacuate:
		return s.Domains
	}
	return 1
}
