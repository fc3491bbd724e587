// Package node is the process of a gateway VM: it builds the duties, joins them
// by rings, carries out the I/O that they request, and starts and stops them.
// The only decision that it makes itself is whether the VM is ready.
package node
