// Package route is the duty that finds the front of a request. It owns the
// newest range map of each failure domain, the policy in force and the
// delegation, and decides on retries.
package route
