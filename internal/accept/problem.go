package accept

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// ProblemBase is the prefix of a problem's type; the outcome follows it.
const ProblemBase = "urn:celeryhook:problem:"

const problemType = "application/problem+json"

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

var problems = map[core.Outcome]Problem{
	core.OutcomeNotRun:     {Title: "The request was not run", Status: http.StatusServiceUnavailable},
	core.OutcomeUnknown:    {Title: "It is not known whether the request was run", Status: http.StatusGatewayTimeout},
	core.OutcomeOverloaded: {Title: "The request was not run, as a limit was reached", Status: http.StatusServiceUnavailable},
	core.OutcomeNoOwner:    {Title: "The request was not run, as its key has no owner at present", Status: http.StatusServiceUnavailable},
	core.OutcomeBadRequest: {Title: "The request is at fault and was not run", Status: http.StatusBadRequest},
}

// requestError is the reason why a caller's request is invalid.
type requestError struct {
	// reason is the label in the metric bad_input.
	reason string
	status int
	detail string
}

func (e *requestError) Error() string { return e.detail }

func badRequest(reason, detail string) *requestError {
	return &requestError{reason: reason, status: http.StatusBadRequest, detail: detail}
}

func newProblem(outcome core.Outcome, detail string, id core.RequestID) Problem {
	if outcome == core.OutcomeMoved {
		// VMs use the outcome moved among themselves; to a caller, the request
		// was not run.
		outcome = core.OutcomeNotRun
	}
	p, ok := problems[outcome]
	if !ok {
		outcome = core.OutcomeUnknown
		p = problems[outcome]
	}
	p.Type = ProblemBase + string(outcome)
	p.Detail = detail
	p.RequestID = string(id)
	return p
}

func (e *requestError) problem(id core.RequestID) Problem {
	p := newProblem(core.OutcomeBadRequest, e.detail, id)
	p.Status = e.status
	return p
}

func writeProblem(w http.ResponseWriter, p Problem, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
