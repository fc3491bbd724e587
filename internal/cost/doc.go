// Package cost estimates the work of a request before it is sent, from what is
// known of it at that point. For each feature of a request (method, size of the
// body, first segment of the path, caller, key, whole path) it keeps the mean
// work of the requests with the same value, and uses the feature that has
// predicted the requests of the route best.
//
// The package does no I/O and reads no clock. docs/design/request-cost.md
// describes the alternatives.
package cost
