// Package peer is the edge between the VMs of a deployment: a twirp client and
// server that turn messages of the duties into protobuf and back. It makes no
// decisions.
package peer
