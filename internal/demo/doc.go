// Package demo runs a small deployment in one process: the stand-ins of the
// platform and of the targets, and entry VMs in three failure domains. It is
// for trials and tests; the latencies between real machines are missing.
package demo
