// Package quarantine keeps requests that crash targets away from them.
//
// A request is known by what its targets see of it: method, host, URI, caller and
// body. When a process of a target ends, each request that lost its connection to
// the process is suspected. A suspected request isn't sent for a time that grows
// with the number of processes that ended under it, and then one VM after the other
// tries it once. A response to it ends the suspicion.
//
// VMs tell each other what they saw at once and compare their tables with the
// leader every second, so that a VM that was cut off or started again catches up.
// What is known only grows (processes that ended, processes that are excused), so
// it can be merged in any order.
package quarantine
