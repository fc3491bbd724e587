// Package mesh carries messages between the gateway VMs over Twirp: copies of the
// store's streams, appends to the store, load reports for the assigner, and
// queries about grants. It only encodes and decodes; the duties make the
// decisions.
package mesh
