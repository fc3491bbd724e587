package node

import (
	"context"
	"errors"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/protocol"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/routing"
)

// Settings are what a gateway VM learns from the platform at its start.
type Settings struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	// CallersAddress, ReadyAddress and MeshAddress are where the VM listens: for
	// callers, for the load balancer's question, and for the other VMs.
	CallersAddress string
	ReadyAddress   string
	// ReadyPath is the path of the load balancer's question.
	ReadyPath   string
	MeshAddress string
	// Seeds are mesh addresses of VMs that may be up.
	Seeds []string
	// StopTimeout is how long the process may take to stop after SIGTERM.
	StopTimeout time.Duration
	Retry       balance.RetryLimits
	// Capacity is the VM's processor time in cores.
	Capacity float64
}

// Platform is what a gateway VM needs of the platform it runs on. The adapter
// implements it; it decides nothing.
type Platform interface {
	replica.Store
	// Settings reads the settings again.
	Settings() (Settings, error)
	Headers() *protocol.Headers
	Decoder
	Orders
}

// Decoder turns records of the operators and the targets into the product's
// types.
type Decoder interface {
	// DecodeConfig reads a record of the stream replica.Config. Exactly one of
	// the results is not nil unless there is an error.
	DecodeConfig(replica.Record) (*routing.Config, *Evacuation, error)
	// DecodeTarget reads a record of the stream replica.Targets.
	DecodeTarget(replica.Record) (discovery.Registration, error)
}

// Evacuation empties a failure domain of work, or takes it back.
type Evacuation struct {
	FailureDomain core.FailureDomain
	Out           bool
}

// Orders gives keys to targets and takes them back. Keys are inclusive.
type Orders interface {
	// Grant reports whether the target took the grant; false means that it has
	// seen a higher token.
	Grant(ctx context.Context, to ownership.Holder, from, through uint16, fence int64, hold time.Duration, handover string) (bool, error)
	// Release returns the handover once the work on the keys has ended.
	Release(ctx context.Context, holder ownership.Holder, from, through uint16, fence int64) (handover string, err error)
}

// ErrOtherProcess is the error of an order that reached another process than
// the one it was meant for.
var ErrOtherProcess = errors.New("node: another process answers at the address")
