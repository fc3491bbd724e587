package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Faults are the failures that the stand-in injects. The zero value injects
// none.
type Faults struct {
	// Down makes every request of the platform's API fail with status 503 before
	// it has an effect, including pending reads.
	Down bool
	// Delay delays every response after the request took effect.
	Delay time.Duration
	// LoseResponses is how many of the next appends take effect and then have
	// their connection closed without a response.
	LoseResponses int
	// RetainRecords and RetainAge limit the retention of the log; 0 means no limit.
	RetainRecords int
	RetainAge     time.Duration
	// VMLag is the delay after which a change of the list of VMs becomes visible.
	VMLag time.Duration
}

// ErrInvalidFaults wraps every reason for which faults are rejected.
var ErrInvalidFaults = errors.New("platform: faults are invalid")

// Validate checks that no value is negative.
func (f Faults) Validate() error {
	if f.Delay < 0 || f.LoseResponses < 0 || f.RetainRecords < 0 || f.RetainAge < 0 || f.VMLag < 0 {
		return fmt.Errorf("%w: a value is negative", ErrInvalidFaults)
	}
	return nil
}

// faultsJSON is the JSON encoding of Faults at /standin/faults.
type faultsJSON struct {
	Down          bool  `json:"down"`
	DelayMS       int64 `json:"delay_ms"`
	LoseResponses int   `json:"lose_answers"`
	RetainRecords int   `json:"retain_records"`
	RetainAgeMS   int64 `json:"retain_age_ms"`
	VMLagMS       int64 `json:"vm_lag_ms"`
}

func (f Faults) json() faultsJSON {
	return faultsJSON{
		Down:          f.Down,
		DelayMS:       f.Delay.Milliseconds(),
		LoseResponses: f.LoseResponses,
		RetainRecords: f.RetainRecords,
		RetainAgeMS:   f.RetainAge.Milliseconds(),
		VMLagMS:       f.VMLag.Milliseconds(),
	}
}

// decodeFaults decodes faults; fields that are missing are off.
func decodeFaults(r io.Reader) (Faults, error) {
	var j faultsJSON
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		return Faults{}, fmt.Errorf("%w: %w", ErrInvalidFaults, err)
	}
	f := Faults{
		Down:          j.Down,
		Delay:         time.Duration(j.DelayMS) * time.Millisecond,
		LoseResponses: j.LoseResponses,
		RetainRecords: j.RetainRecords,
		RetainAge:     time.Duration(j.RetainAgeMS) * time.Millisecond,
		VMLag:         time.Duration(j.VMLagMS) * time.Millisecond,
	}
	return f, f.Validate()
}
