// Package membership is the duty that knows which VMs are alive. It owns when
// each VM was last heard and what it said. The platform's list of VMs lags, so
// it only supplies addresses to try.
package membership
