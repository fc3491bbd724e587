package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Faults are the ways in which the stand-in fails as the platform does. The
// zero value is a platform without faults.
type Faults struct {
	// Down makes every request of the platform's interface fail with status 503
	// before it has an effect, reads that wait included.
	Down bool
	// Delay holds every answer back after the request took effect.
	Delay time.Duration
	// LoseAnswers is how many of the next appends take effect and then lose
	// their connection without an answer.
	LoseAnswers int
	// RetainRecords and RetainAge bound the log; 0 is no bound.
	RetainRecords int
	RetainAge     time.Duration
	// VMLag is how long a change of the list of VMs stays invisible.
	VMLag time.Duration
}

// ErrFaults wraps every reason for which faults are refused.
var ErrFaults = errors.New("platform: faults are invalid")

// Validate checks that no value is negative.
func (f Faults) Validate() error {
	if f.Delay < 0 || f.LoseAnswers < 0 || f.RetainRecords < 0 || f.RetainAge < 0 || f.VMLag < 0 {
		return fmt.Errorf("%w: a value is negative", ErrFaults)
	}
	return nil
}

// faultsJSON is the form of Faults at /standin/faults.
type faultsJSON struct {
	Down          bool  `json:"down"`
	DelayMS       int64 `json:"delay_ms"`
	LoseAnswers   int   `json:"lose_answers"`
	RetainRecords int   `json:"retain_records"`
	RetainAgeMS   int64 `json:"retain_age_ms"`
	VMLagMS       int64 `json:"vm_lag_ms"`
}

func (f Faults) json() faultsJSON {
	return faultsJSON{
		Down:          f.Down,
		DelayMS:       f.Delay.Milliseconds(),
		LoseAnswers:   f.LoseAnswers,
		RetainRecords: f.RetainRecords,
		RetainAgeMS:   f.RetainAge.Milliseconds(),
		VMLagMS:       f.VMLag.Milliseconds(),
	}
}

// readFaults decodes faults; what isn't given is off.
func readFaults(r io.Reader) (Faults, error) {
	var j faultsJSON
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		return Faults{}, fmt.Errorf("%w: %w", ErrFaults, err)
	}
	f := Faults{
		Down:          j.Down,
		Delay:         time.Duration(j.DelayMS) * time.Millisecond,
		LoseAnswers:   j.LoseAnswers,
		RetainRecords: j.RetainRecords,
		RetainAge:     time.Duration(j.RetainAgeMS) * time.Millisecond,
		VMLag:         time.Duration(j.VMLagMS) * time.Millisecond,
	}
	return f, f.Validate()
}
