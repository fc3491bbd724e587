// Package soak tests gateway VMs as separate processes against the stand-ins of
// the store and of targets: it disturbs them from outside by a seeded schedule,
// and checks while it runs what callers, targets and operators are promised.
//
// Faults come through loopback proxies (delay, reset, one-way cuts, silence),
// signals (stop, kill, pause, reload) and the stand-ins' fault switches. A
// schedule is a pure function of its seed; what processes make of it is not.
//
// Not covered: the links between VMs, which have no proxy; steps of the wall
// clock, which need privileges. VMs keep time by a clock that does not step.
package soak
