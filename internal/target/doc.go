// Package target is the edge towards targets: an HTTP client that sends orders
// and requests. It keeps no state and makes no decisions.
package target
