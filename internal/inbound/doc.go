// Package inbound observes the heads that clients send, and decides which connection of
// a listener gives way if there is no room.
package inbound
