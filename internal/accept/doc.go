// Package accept handles the HTTP requests of callers: it turns them into calls
// by the routes of the policy and writes the results as HTTP responses. The
// routes of a new policy are built next to those in force and replace all of
// them at once.
package accept
