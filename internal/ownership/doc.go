// Package ownership decides which target owns which keys of the services that
// are divided by key, and keeps the targets' grants alive.
//
// Every assignment is written to the stream of owners before it is carried
// out. An append names the offset at which the stream must end, so of two VMs
// that assign at the same time one fails, and the offset is the fencing token:
// tokens rise by themselves. One VM at a time, the assigner, appends; this
// saves conflicts and is not needed for safety.
//
// Keys leave a target in one of three ways: the target confirms a release at
// the new token, after which it refuses older ones; its process has provably
// ended; or nobody can have renewed its grant for longer than a grant lasts.
//
// Renewing changes no owner, so any VM may do it for what the ledger says. Two
// VMs renew each target's grants. A VM whose ledger has grown old goes on only
// as long as a majority of the VMs knows of nothing newer, as in an outage of
// the store. Whoever takes keys from a holder that doesn't answer needs word
// from a majority too; the two majorities share a VM, which bounds how long the
// old grants are still renewed.
package ownership
