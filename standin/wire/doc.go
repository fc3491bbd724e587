// Package wire is a stand-in for the platform's store and for its servers, for
// tests. It implements their published wire protocol, so that the adapter in
// platform/ and whole deployments can be tested without the users' platform. It
// injects the faults of the other stand-ins.
package wire
