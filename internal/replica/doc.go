// Package replica maintains a local copy of the streams in the platform's store:
// configuration, registrations of targets, owners of keys, and member VMs. Each
// stream is a compacted log, of which the newest record of each key is valid.
//
// One VM of each failure domain is elected to read the store. The others follow
// such readers, so that the load on the store doesn't grow with the number of
// VMs, and a VM that cannot reach the store still gets updates from other VMs.
// The copy is monotonic: a record replaces only one with a smaller offset. Offsets
// hold the era of the store, so that this also holds once the store has been
// restored from an older copy of itself and assigns offsets again.
package replica
