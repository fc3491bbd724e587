// Package core defines the types that all duties share: identifiers of VMs,
// failure domains, services and targets, key ranges, tokens, range maps,
// requests and their outcomes. It has no state, does no I/O and reads no clock.
package core
