// Package dialect names the headers by which the gateway, its callers and the
// targets understand each other. The adapter of a platform fills it in; the
// other packages know what the headers mean, not what they are called.
package dialect

import (
	"net/http"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
)

// Dialect holds header names in canonical form, and the codecs of their values.
type Dialect struct {
	// RequestID identifies a caller's attempt; targets echo it.
	RequestID string
	// Deadline is how long the caller waits.
	Deadline string
	// Key is the key of a request to a service that is divided by key.
	Key string
	// Stamp signs a target's answer.
	Stamp string
	// NotRun marks an answer whose request did not run.
	NotRun string
	// ExpectTarget names the target that a request is meant for.
	ExpectTarget string
	// Target names the target that answered.
	Target string
	// RetryAfter tells a refused caller when to come back.
	RetryAfter string

	// ParseDeadline reads the value of Deadline.
	ParseDeadline func(string) (time.Duration, bool)
	// FormatDeadline writes the value of Deadline.
	FormatDeadline func(time.Duration) string
	// FormatRetryAfter writes the value of RetryAfter.
	FormatRetryAfter func(time.Duration) string
	// ParseKey reads the value of Key.
	ParseKey func(string) (uint16, bool)
	// Load reads a target's load from its answer; nil if it reports none.
	Load func(http.Header) *balance.LoadReport
	// Cold reads how much longer a target stays cold from its health answer.
	Cold func(http.Header) time.Duration
}
