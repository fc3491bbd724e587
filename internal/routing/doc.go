// Package routing selects the route of a request. A Table is built whole from
// a Config and never changes; Holder swaps it for a newer one and never goes
// back to an older version.
package routing
