// Package grant is the duty that holds the grants of the targets whose front
// is this VM. It owns, per target, the token, the ranges, the end of the lease
// and the conversion to the target's clock. It decides which order is due;
// orders are sent by package target and their results come back as messages.
package grant
