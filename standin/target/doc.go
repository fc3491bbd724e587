// Package target is a stand-in for the users' targets, for tests and the demo.
// It accepts grants, checks requests against them, and logs every run with its
// token, so that a test can check ownership and the number of runs.
package target
