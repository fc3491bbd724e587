package team

import (
	"errors"
	"fmt"
	"math"
)

const (
	// maxKeyBytes bounds an API key. A longer one is never valid, so that no time is
	// spent on hashing what a client sends.
	maxKeyBytes = 1024
	// maxNameBytes bounds a team's name, which is sent as a header.
	maxNameBytes = 256
)

// Key is an API key. It is formatted and encoded without its value, so that it
// doesn't get into logs.
type Key string

// Format implements fmt.Formatter.
func (Key) Format(s fmt.State, _ rune) { _, _ = s.Write([]byte(redacted)) }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

const redacted = "[key]"

// Team is a team of the configuration.
type Team struct {
	Name string
	Keys []Key
	// Priority replaces that of the route if HasPriority is set; 0 is the most
	// urgent.
	Priority    int
	HasPriority bool
	// Rate is the number of requests per second that the team may send over all VMs;
	// 0 means no limit. Burst is the number that it may send beyond that at once.
	Rate, Burst float64
}

// Validate checks the teams of a configuration. The error doesn't contain keys.
func Validate(teams []Team) error {
	names := make(map[string]bool, len(teams))
	owners := make(map[Key]string)
	for i, t := range teams {
		switch {
		case !validName(t.Name):
			return fmt.Errorf("team: team %d: invalid name %q", i, t.Name)
		case names[t.Name]:
			return fmt.Errorf("team: two teams with the name %q", t.Name)
		case !validAmount(t.Rate) || !validAmount(t.Burst):
			return fmt.Errorf("team: team %q: rate %v or burst %v is negative or not finite", t.Name, t.Rate, t.Burst)
		}
		names[t.Name] = true
		for j, k := range t.Keys {
			if err := validateKey(k); err != nil {
				return fmt.Errorf("team: team %q: key %d: %w", t.Name, j, err)
			}
			if owner, ok := owners[k]; ok && owner != t.Name {
				return fmt.Errorf("team: teams %q and %q have the same key", owner, t.Name)
			}
			owners[k] = t.Name
		}
	}
	return nil
}

func validAmount(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

// validName reports whether a name can be sent as the value of a header unchanged.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == ' ' || s[len(s)-1] == ' ' {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

var (
	errKeyLength = fmt.Errorf("length is not between 1 and %d bytes", maxKeyBytes)
	errKeyBytes  = errors.New("contains bytes other than visible ASCII")
)

func validateKey(k Key) error {
	if len(k) == 0 || len(k) > maxKeyBytes {
		return errKeyLength
	}
	for i := range len(k) {
		if k[i] <= ' ' || k[i] > '~' {
			return errKeyBytes
		}
	}
	return nil
}
