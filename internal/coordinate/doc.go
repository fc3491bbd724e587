// Package coordinate implements the duty that assigns the ranges of a failure
// domain to targets, and each target to the VM that is its front. It owns the
// leadership state of the current term, the promises given and received, the
// range map and the moves in progress. All decisions are pure steps without
// I/O; section 5 of docs/design.md gives the rules.
package coordinate
