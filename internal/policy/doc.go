// Package policy reads, validates and compares the policy of a deployment:
// one INI document that lists services, targets, routes, limits and branches.
// A document is accepted as a whole or rejected with all its faults. The
// package is pure; the log decides which version is in force.
package policy
