// Package inbound decides which connection of a listener gives way if there is no room
// for what a client sends.
package inbound
