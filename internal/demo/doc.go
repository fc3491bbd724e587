// Package demo runs a small deployment in a single process: stand-ins of the
// platform and of the targets, and entry VMs in three failure domains. It is
// meant for demonstrations and tests. Network latency between machines is not
// simulated.
package demo
