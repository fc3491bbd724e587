// Package membership implements the duty that tracks which VMs are alive. It
// keeps the time and the content of the last heartbeat of each VM. The
// platform's list of VMs lags, so it only supplies addresses to try.
package membership
