// Package grant implements the duty that holds the grants of the targets whose
// front is this VM. For each target it keeps the fencing token, the ranges, the
// end of the lease and the conversion to the target's clock, and decides which
// order is due. Package target sends the orders; their results come back as
// messages.
package grant
