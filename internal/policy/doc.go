// Package policy parses, validates and compares the policy of a deployment: an
// INI document that lists services, targets, routes, limits and branches. A
// document is either accepted or rejected with all its issues. The package does
// no I/O; the platform's log determines which version is in force.
package policy
