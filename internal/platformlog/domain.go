package platformlog

import (
	"errors"
	"fmt"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// Reasons for which a change of a failure domain isn't submitted.
var (
	ErrNoDomain   = errors.New("platformlog: the policy in force has no such failure domain")
	ErrNoChange   = errors.New("platformlog: the failure domain is in this state already")
	ErrLastDomain = errors.New("platformlog: no failure domain would remain in service")
)

// DomainChange returns a check for a submission of a domain record. The last
// failure domain in service may only be taken out if the operator confirms it.
func DomainChange(d core.FailureDomain, to DomainState, confirmed bool) func(Folded) error {
	return func(f Folded) error {
		p, err := policy.Parse([]byte(f.Document))
		if f.PolicyVersion == 0 || err != nil || !slices.Contains(p.FailureDomains, d) {
			return fmt.Errorf("%w: %q", ErrNoDomain, d)
		}
		if f.DomainState(d) == to {
			return fmt.Errorf("%w: %s is %s", ErrNoChange, d, to)
		}
		remains := func(other core.FailureDomain) bool { return other != d && f.DomainState(other) == DomainIn }
		if to != DomainIn && !confirmed && !slices.ContainsFunc(p.FailureDomains, remains) {
			return fmt.Errorf("%w: without %s", ErrLastDomain, d)
		}
		return nil
	}
}
