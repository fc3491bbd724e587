// Package witness is the duty that keeps copies of the request ids of other
// VMs' fronts, so that a front that takes over knows which requests may have
// run. It also defines the records and the bounded store of them, which the
// front duty uses for its own memory. docs/design.md section 9.2 has the rules.
package witness
