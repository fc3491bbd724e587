package forward

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/target"
)

// Call is a request on its way: what decisions need, and its HTTP side.
type Call struct {
	Request core.Request
	HTTP    target.HTTPRequest
	// Target is set for the hop to a front.
	Target core.Target
}

// Answer is what became of a call.
type Answer struct {
	Outcome    core.Outcome
	Detail     string
	RetryAfter time.Duration
	// Response is set for OutcomeAnswered.
	Response target.Response
	Target   core.Target
}
