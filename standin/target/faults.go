package target

import (
	"flag"
	"fmt"
	"io"
	"time"
)

// Faults are the failures that a target injects. The zero value is a healthy
// target that responds immediately and is never cold. Shares are fractions of
// the requests that run, between 0 and 1.
type Faults struct {
	// ServiceTime is the duration of a run, StragglerTime that of the share of
	// stragglers.
	ServiceTime    time.Duration
	StragglerShare float64
	StragglerTime  time.Duration
	// Freeze withholds all responses until it is cleared.
	Freeze bool
	// ColdSlots is the number of requests that a cold target runs at a time;
	// with 0 it is never cold. The cold start ends after ColdTime or after
	// ColdRequests successful runs.
	ColdSlots    int
	ColdTime     time.Duration
	ColdRequests int
	// ColdDelay is the duration of runs above ColdSlots; with 0 they are rejected.
	ColdDelay time.Duration
	// Drop, Cut, Cross, Duplicate and Reorder are shares of the responses:
	// never sent, truncated, sent with the headers of another run, sent twice,
	// and sent after a later one.
	Drop, Cut, Cross, Duplicate, Reorder float64
	// Delay is the share of responses that are sent DelayTime after the run.
	Delay     float64
	DelayTime time.Duration
	// DropOrders is the share of orders that take effect without a response.
	DropOrders float64
	// Drain makes the target report after DrainLag that it is draining.
	Drain    bool
	DrainLag time.Duration
	// ReportLag is the age of the status that the health and load endpoints show.
	ReportLag time.Duration
	// Mislead makes all reports show a healthy, warm and idle target.
	Mislead bool
}

// flags maps the names of the faults to the fields.
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

// With returns the faults with the changes applied. If one is invalid, none is
// applied.
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

// Values returns the values of all faults by name.
func (f Faults) Values() map[string]string {
	out := make(map[string]string)
	f.flags().VisitAll(func(v *flag.Flag) { out[v.Name] = v.Value.String() })
	return out
}

// ResponseFault is the fault that is injected into the response of a run.
type ResponseFault uint8

// Faults of responses.
const (
	ResponseComplete ResponseFault = iota
	ResponseDropped
	ResponseCut
	ResponseCrossed
	ResponseDuplicated
	ResponseReordered
)

// pickResponse selects the fault of a response by a number in [0, 1).
func (f Faults) pickResponse(roll float64) ResponseFault {
	for i, share := range []float64{f.Drop, f.Cut, f.Cross, f.Duplicate, f.Reorder} {
		if roll < share {
			return ResponseDropped + ResponseFault(i)
		}
		roll -= share
	}
	return ResponseComplete
}
