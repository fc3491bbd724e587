// Package target provides the HTTP client that sends orders and requests to
// targets. It keeps no state and makes no decisions.
package target
