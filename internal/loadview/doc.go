// Package loadview aggregates what the VMs of a deployment observe of the targets.
// Every VM reports to the leader, which replies with a digest over all VMs and
// divides the capacity of saturated targets among the VMs that want them. The
// Aggregator is a pure step on a virtual clock; it does no I/O.
package loadview
