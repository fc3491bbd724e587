// Package protocol describes the HTTP headers that the gateway exchanges with
// callers and targets. The adapter of a platform supplies the header names and
// the encoding of their values; all other packages depend only on their meaning.
package protocol

import (
	"net/http"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
)

// Headers holds header names in canonical form, and the codecs of their values.
type Headers struct {
	// RequestID identifies a caller's attempt; targets echo it.
	RequestID string
	// Deadline is how long the caller waits for the response.
	Deadline string
	// Key is the key of a request to a service that is sharded by key.
	Key string
	// Stamp is the target's signature of its response.
	Stamp string
	// NotRun marks a response to a request that did not run.
	NotRun string
	// ExpectTarget names the target that a request is addressed to.
	ExpectTarget string
	// Target names the target that responded.
	Target string
	// RetryAfter tells the caller how long to wait before it retries a rejected
	// request.
	RetryAfter string
	// Credential carries a caller's API key. Team tells a target which team sent a
	// request.
	Credential, Team string
	// Challenge is the value of WWW-Authenticate in a response to a caller without a
	// valid key.
	Challenge string

	// ParseDeadline parses the value of Deadline.
	ParseDeadline func(string) (time.Duration, bool)
	// FormatDeadline formats the value of Deadline.
	FormatDeadline func(time.Duration) string
	// FormatRetryAfter formats the value of RetryAfter.
	FormatRetryAfter func(time.Duration) string
	// ParseKey parses the value of Key.
	ParseKey func(string) (uint16, bool)
	// ParseCredential returns the API key in the values of Credential. It reports false
	// unless there is exactly one well-formed value.
	ParseCredential func(values []string) (key string, ok bool)
	// ParseLoad returns the load that a target reports in a response, or nil if
	// it reports none.
	ParseLoad func(http.Header) *balance.TargetLoad
	// ParseAnnouncement returns what a target announces of itself in a response.
	ParseAnnouncement func(status int, h http.Header) balance.Announcement
	// ParseColdTime returns the remaining cold-start time that a target reports
	// in its health response.
	ParseColdTime func(http.Header) time.Duration
}
