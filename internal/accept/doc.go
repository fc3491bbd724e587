// Package accept is the edge towards callers: it turns HTTP requests into
// calls by the routes of the policy, and answers into HTTP responses. A new
// policy's routes are built beside those in force and swapped in whole.
package accept
