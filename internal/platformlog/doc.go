// Package platformlog is the duty that reads the platform's append-only log.
// It owns the folded state: the policy, the terms and the delegation in force.
// The fold is deterministic, so all VMs that have read the same records agree.
package platformlog
