// Package mesh carries the messages between the gateway VMs over twirp: copies
// of the store's streams, load reports for the assigner, and questions on
// grants. It decodes and encodes; the duties decide.
package mesh
