// Package coordinate is the duty that assigns the ranges of a failure domain
// to targets and each target to a VM, its front. It owns the term's authority,
// the promises given and received, the map and the moves under way. All its
// decisions are pure steps; docs/design.md section 5 gives the rules.
package coordinate
