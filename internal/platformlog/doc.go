// Package platformlog is the duty that reads the platform's append-only log and
// derives the state in force from it: the policy, the terms and the delegation.
// Records are applied deterministically, so all VMs that have read the same
// records have the same state.
package platformlog
