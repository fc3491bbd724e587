// Package core holds the types that all duties share: names of VMs, failure
// domains, services and targets, ranges of keys, tokens, range maps, requests
// and their outcomes. It has no state, does no I/O and reads no clock.
package core
