// Package node is a gateway VM as a process: it builds the duties, joins them
// by rings, carries out the I/O that they ask for, and starts and stops them.
// It decides nothing itself but when the VM is ready.
package node
