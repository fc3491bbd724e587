// Package discovery tracks the targets: which are registered, which are
// draining, which failure domains operators have evacuated, and which targets
// are cold. It is a pure state machine whose input is registrations and clock
// readings, and whose output is a View for the request path.
package discovery
