// Package soak runs gateway VMs as separate processes against the stand-ins for
// the store and for targets. It injects faults from a seeded schedule, and checks
// continuously the invariants that callers, targets and operators rely on.
//
// Faults are injected by loopback proxies (delays, resets, one-way and two-way
// cuts), by signals (stop, kill, pause, reload) and by the stand-ins. A schedule
// is a pure function of its seed; the behaviour of the processes is not.
//
// Not covered: the links between VMs, which have no proxy, and steps of the wall
// clock, which need privileges. VMs use a monotonic clock.
package soak
