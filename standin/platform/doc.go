// Package platform is a stand-in for the users' platform, for tests and the
// demo: an append-only log with offsets and a list of VMs, over HTTP. It can
// inject the failures that the platform may have.
package platform
