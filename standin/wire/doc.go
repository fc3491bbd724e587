// Package wire stands in for the platform's store and for servers in tests. It
// speaks their published protocol, so that the adapter in platform/ and the
// whole path are tested without the users' bench. Its fault switches are those
// of the other stand-ins.
package wire
