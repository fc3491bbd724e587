package policy

import (
	"errors"
	"math"
	"strconv"
	"time"
)

// Unit is the unit of a number in a document.
type Unit string

// Units of numbers.
const (
	// UnitDuration is a Go duration with a unit, such as 300ms or 10m.
	UnitDuration Unit = "duration"
	// UnitCount is a whole number.
	UnitCount Unit = "count"
	// UnitBytes is a whole number of bytes.
	UnitBytes Unit = "bytes"
	// UnitShare is a decimal fraction, such as 0.05 for 5 %.
	UnitShare Unit = "share"
	// UnitFactor is a decimal multiplier.
	UnitFactor Unit = "factor"
)

var (
	errDuration = errors.New("is not a duration with a unit, such as 300ms or 10m")
	errCount    = errors.New("is not a whole number")
	errShare    = errors.New("is not a decimal number, such as 0.05")
)

// parse returns a value as a float64, which represents integers up to 2^53
// exactly: durations of up to 104 days and all counts within their bounds.
func (u Unit) parse(s string) (float64, error) {
	switch u {
	case UnitDuration:
		d, err := time.ParseDuration(s)
		if err != nil || s == "0" {
			return 0, errDuration
		}
		return float64(d), nil
	case UnitShare, UnitFactor:
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
			return 0, errShare
		}
		return f, nil
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, errCount
	}
	return float64(n), nil
}

// format returns the text form of a value, which parse accepts.
func (u Unit) format(v float64) string {
	switch u {
	case UnitDuration:
		return time.Duration(v).String()
	case UnitShare, UnitFactor:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	return strconv.FormatInt(int64(v), 10)
}

// loadField and storeField access the struct field of a number.
func loadField(field any) float64 {
	switch f := field.(type) {
	case *time.Duration:
		return float64(*f)
	case *int:
		return float64(*f)
	case *int64:
		return float64(*f)
	case *uint32:
		return float64(*f)
	}
	return *field.(*float64)
}

func storeField(field any, v float64) {
	switch f := field.(type) {
	case *time.Duration:
		*f = time.Duration(v)
	case *int:
		*f = int(v)
	case *int64:
		*f = int64(v)
	case *uint32:
		*f = uint32(v)
	default:
		*field.(*float64) = v
	}
}
