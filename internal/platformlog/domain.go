package platformlog

import (
	"errors"
	"fmt"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// Reasons why a change of a failure domain's state is not submitted.
var (
	ErrUnknownDomain = errors.New("platformlog: failure domain is not in the policy in force")
	ErrNoChange      = errors.New("platformlog: failure domain is already in this state")
	ErrLastDomain    = errors.New("platformlog: no failure domain would remain in service")
)

// DomainChange returns the precondition for submitting a domain record. The
// last failure domain in service may only be taken out if the operator confirms
// it.
func DomainChange(d core.FailureDomain, to DomainState, confirmed bool) func(State) error {
	return func(st State) error {
		p, err := policy.Parse([]byte(st.Document))
		if st.PolicyVersion == 0 || err != nil || !slices.Contains(p.FailureDomains, d) {
			return fmt.Errorf("%w: %q", ErrUnknownDomain, d)
		}
		if st.DomainState(d) == to {
			return fmt.Errorf("%w: %s is %s", ErrNoChange, d, to)
		}
		remains := func(other core.FailureDomain) bool { return other != d && st.DomainState(other) == DomainIn }
		if to != DomainIn && !confirmed && !slices.ContainsFunc(p.FailureDomains, remains) {
			return fmt.Errorf("%w: without %s", ErrLastDomain, d)
		}
		return nil
	}
}
