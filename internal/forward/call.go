package forward

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/target"
)

// Call is a request in progress: the data for routing and admission decisions,
// and the HTTP parts that are sent to the target.
type Call struct {
	Request core.Request
	HTTP    target.HTTPRequest
	// Target is set when the call is sent to a front.
	Target core.Target
}

// Result is the outcome of a call.
type Result struct {
	Outcome    core.Outcome
	Detail     string
	RetryAfter time.Duration
	// Response is set for OutcomeAnswered.
	Response target.Response
	Target   core.Target
}
