// Package ownership decides which target owns which keys of the services that
// are sharded by key, and renews the targets' grants.
//
// Every assignment is written to the owners stream before it is carried out. An
// append names the offset at which the stream must end, so of two VMs that
// append at the same time one fails. The offset is also the fencing token, so
// tokens increase monotonically. Only the leader appends; this avoids conflicts
// and is not needed for safety.
//
// Keys leave a target in one of three ways: the target confirms a release with
// the new token, after which it rejects older ones; its process has provably
// exited; or no VM can have renewed its grant for longer than a grant lasts.
//
// Renewals change no owner, so any VM may renew the grants in its ledger. Two
// VMs renew each target's grants. A VM whose ledger is out of date continues
// only while a majority of the VMs has no newer records, as during an outage of
// the store. Taking keys from an unresponsive holder needs replies from a
// majority too. The two majorities share a VM, which bounds how long the old
// grants are still renewed.
package ownership
