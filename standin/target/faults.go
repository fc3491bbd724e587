package target

import (
	"flag"
	"fmt"
	"io"
	"time"
)

// Faults are the ways in which a target misbehaves. The zero value is a
// healthy target that answers at once and is never cold. Shares are between 0
// and 1, of the requests that run.
type Faults struct {
	// ServiceTime is how long a run takes, StragglerTime how long the straggling share does.
	ServiceTime    time.Duration
	StragglerShare float64
	StragglerTime  time.Duration
	// Freeze withholds all answers until it is cleared.
	Freeze bool
	// ColdSlots is how many requests a cold target bears in flight; with 0 it
	// is never cold. It warms up after ColdTime or ColdRequests successes.
	ColdSlots    int
	ColdTime     time.Duration
	ColdRequests int
	// ColdDelay is how long runs above ColdSlots take; with 0 they are refused.
	ColdDelay time.Duration
	// Drop, Cut, Cross, Duplicate and Reorder are shares of the responses.
	Drop, Cut, Cross, Duplicate, Reorder float64
	// Delay is the share of responses that leave DelayTime after the run.
	Delay     float64
	DelayTime time.Duration
	// DropOrders is the share of orders whose response is lost after they took effect.
	DropOrders float64
	// Drain makes the target report that it is leaving, DrainLag later.
	Drain    bool
	DrainLag time.Duration
	// ReportLag is the age of what the health and load endpoints report.
	ReportLag time.Duration
	// Mislead makes all reports say healthy, warm and idle.
	Mislead bool
}

// flags binds the faults' names to their fields.
func (f *Faults) flags() *flag.FlagSet {
	s := flag.NewFlagSet("faults", flag.ContinueOnError)
	s.SetOutput(io.Discard)
	for name, share := range f.shares() {
		s.Float64Var(share, name, *share, "")
	}
	for name, d := range map[string]*time.Duration{
		"service-time": &f.ServiceTime, "straggler-time": &f.StragglerTime,
		"cold-time": &f.ColdTime, "cold-delay": &f.ColdDelay, "delay-time": &f.DelayTime,
		"drain-lag": &f.DrainLag, "report-lag": &f.ReportLag,
	} {
		s.DurationVar(d, name, *d, "")
	}
	s.BoolVar(&f.Freeze, "freeze", f.Freeze, "")
	s.BoolVar(&f.Drain, "drain", f.Drain, "")
	s.BoolVar(&f.Mislead, "mislead", f.Mislead, "")
	s.IntVar(&f.ColdSlots, "cold-slots", f.ColdSlots, "")
	s.IntVar(&f.ColdRequests, "cold-requests", f.ColdRequests, "")
	return s
}

func (f *Faults) shares() map[string]*float64 {
	return map[string]*float64{
		"straggler": &f.StragglerShare, "drop": &f.Drop, "cut": &f.Cut, "cross": &f.Cross,
		"duplicate": &f.Duplicate, "reorder": &f.Reorder, "delay": &f.Delay, "drop-orders": &f.DropOrders,
	}
}

// With returns the faults after the changes, which are all made or none.
func (f Faults) With(changes map[string]string) (Faults, error) {
	s := f.flags()
	for name, value := range changes {
		if err := s.Set(name, value); err != nil {
			return Faults{}, fmt.Errorf("fault %q: %w", name, err)
		}
	}
	for name, share := range f.shares() {
		if *share < 0 || *share > 1 {
			return Faults{}, fmt.Errorf("fault %q: share %v is not between 0 and 1", name, *share)
		}
	}
	if sum := f.Drop + f.Cut + f.Cross + f.Duplicate + f.Reorder; sum > 1 {
		return Faults{}, fmt.Errorf("shares of drop, cut, cross, duplicate and reorder add up to %v, at most 1 is allowed", sum)
	}
	return f, nil
}

// Values returns all faults by name.
func (f Faults) Values() map[string]string {
	out := make(map[string]string)
	f.flags().VisitAll(func(v *flag.Flag) { out[v.Name] = v.Value.String() })
	return out
}

// Response is what happens to the response of a run.
type Response uint8

// Responses.
const (
	ResponseWhole Response = iota
	ResponseDropped
	ResponseCut
	ResponseCrossed
	ResponseDuplicated
	ResponseReordered
)

// response picks the fate of a response by a number between 0 and 1.
func (f Faults) response(roll float64) Response {
	for i, share := range []float64{f.Drop, f.Cut, f.Cross, f.Duplicate, f.Reorder} {
		if roll < share {
			return ResponseDropped + Response(i)
		}
		roll -= share
	}
	return ResponseWhole
}
