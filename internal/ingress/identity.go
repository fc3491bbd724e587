package ingress

import (
	"net/http"
	"strings"
	"time"

	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
)

// IdentityLimits bound the age of the configuration by which keys are judged.
type IdentityLimits struct {
	// Apply is how long after its acknowledgement a version may be missing. A VM
	// whose copy is older than that can't tell an unknown key from a new one, and
	// answers 503 instead of 401.
	Apply time.Duration
	// Revoke is how long after its revocation a key may still be accepted by a VM
	// that is cut off. It applies only if Strict is set; otherwise such a VM goes on
	// with the configuration that it has.
	Revoke time.Duration
	Strict bool
}

// staleRetryAfter is the Retry-After time if the configuration is too old to judge
// a key: about the time in which a VM finds another source of it.
const staleRetryAfter = 500 * time.Millisecond

// identify finds the team of a request. Without teams in the configuration, and on
// anonymous routes, there is none.
func (r *request) identify(table *routing.Table) *rejection {
	teams := table.Teams()
	if teams == nil || r.rule.Anonymous {
		return nil
	}
	key, wellFormed := r.Headers.ParseCredential(r.httpRequest.Header.Values(r.Headers.Credential))
	if !wellFormed {
		return &rejection{status: http.StatusUnauthorized, reason: "no-key-given"}
	}
	age := time.Duration(0)
	if r.ConfigAge != nil {
		age = r.ConfigAge()
	}
	found := teams.Find(key)
	switch {
	case found == nil && r.Identity.Apply > 0 && age > r.Identity.Apply,
		found != nil && r.Identity.Strict && age > r.Identity.Revoke:
		return &rejection{status: http.StatusServiceUnavailable, reason: "configuration-old", retryAfter: staleRetryAfter}
	case found == nil:
		return &rejection{status: http.StatusUnauthorized, reason: "unknown-key"}
	}
	r.team, r.teamVersion = found, table.Version()
	return nil
}

// identifyAgain repeats identify if the configuration has changed while the body was
// read, so that a slow body doesn't keep a revoked key valid or a route open.
func (r *request) identifyAgain() *rejection {
	table := r.Routes.Table()
	if table.Version() == r.version || table.Teams() == nil {
		return nil
	}
	path, _, _ := strings.Cut(r.httpRequest.RequestURI, "?")
	rule := table.Find(r.httpRequest.Host, path)
	if rule == nil {
		return &rejection{status: http.StatusNotFound, reason: "no-route"}
	}
	before := r.rule
	r.team, r.rule = nil, rule
	rejection := r.identify(table)
	r.rule = before
	if rejection == nil {
		r.setIdentityHeaders(table)
	}
	return rejection
}

// setIdentityHeaders replaces the headers that say who sends a request, so that no
// target receives a key, or a team's name that the caller has set.
func (r *request) setIdentityHeaders(table *routing.Table) {
	teams := table.Teams()
	if teams == nil {
		return
	}
	for name, values := range r.header {
		switch {
		case strings.EqualFold(name, r.Headers.Team):
			delete(r.header, name)
		case strings.EqualFold(name, r.Headers.Credential) && (!r.rule.Anonymous || r.team != nil || r.carriesKey(teams, values)):
			delete(r.header, name)
		}
	}
	if r.team != nil {
		r.header.Set(r.Headers.Team, r.team.Name)
	}
}

// carriesKey reports whether values of the credential header on an anonymous route
// contain an API key, in whichever form: current ones are found by their value, and
// revoked ones by the scheme. Credentials of the application itself pass.
func (r *request) carriesKey(teams *team.Index, values []string) bool {
	for _, v := range values {
		if _, ok := r.Headers.ParseCredential([]string{v}); ok {
			return true
		}
		for field := range strings.FieldsFuncSeq(v, func(c rune) bool { return strings.ContainsRune(" \t,;=\"'", c) }) {
			if teams.Find(field) != nil {
				return true
			}
		}
	}
	return false
}

// priority returns that of the team, or of the route.
func (r *request) priority() int {
	if r.team != nil && r.team.HasPriority {
		return r.team.Priority
	}
	return r.rule.Priority
}
