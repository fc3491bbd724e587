// Package replica keeps a copy of the deployment's streams in the platform's
// store: configuration, registrations of targets, owners of keys, and member
// VMs. Each stream is a compacted log: the newest record of a key counts.
//
// A few VMs of each failure domain read the store; the others follow them, so
// that the store's load doesn't grow with the number of VMs, and a VM that the
// store turns away still learns what its neighbours know. The copy never goes
// back: a record replaces only one with a smaller offset.
package replica
