// Package witness implements the duty that stores replicas of the request
// records of other VMs' fronts, so that a front that takes over a target knows
// which requests may have run. It also defines the records and a bounded store
// for them, which the front duty uses for its own records. The protocol is
// specified in docs/design.md section 9.2.
package witness
