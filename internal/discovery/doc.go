// Package discovery holds what a VM believes of the targets: which exist, which
// are leaving, which failure domains operators have emptied, and which targets
// are cold. It is a pure state machine: registrations and times go in, a View
// for the request path comes out.
package discovery
