// Package memory accounts for the memory that a process holds on behalf of others:
// connections, headers, bodies and responses. A full account rejects what is new and
// never waits.
package memory
