// Package inbound bounds what the clients of an HTTP server may hold: connections, and
// the memory of heads. If there is no room, it decides which connection gives way.
package inbound
