// Package target is a stand-in for the users' targets, for tests and the demo.
// It takes grants, checks requests against them, and logs every run with its
// token, so that a test can check ownership and run counts.
package target
