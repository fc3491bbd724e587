// Package peer is the RPC client and server between the VMs of a deployment. It
// converts messages of the duties to protobuf and back, over twirp, and makes
// no decisions.
package peer
