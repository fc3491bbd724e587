package node

import (
	"context"
	"errors"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/ingress"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/protocol"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
)

// Settings are the settings that a gateway VM reads from the platform at its
// start.
type Settings struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	// CallersAddress, ReadyAddress and MeshAddress are the addresses that the VM
	// listens on: for callers, for the load balancer's readiness probe, and for
	// the other VMs.
	CallersAddress string
	ReadyAddress   string
	// ReadyPath is the path of the readiness probe.
	ReadyPath   string
	MeshAddress string
	// Seeds are mesh addresses of VMs that may be running.
	Seeds []string
	// StopTimeout is how long the process may take to stop after SIGTERM.
	StopTimeout time.Duration
	Retry       balance.RetryLimits
	// Quotas are the tolerances of the teams' quotas, and Identity the bounds on the
	// configuration that keys are judged by.
	Quotas   team.Limits
	Identity ingress.IdentityLimits
	// MaxGrant is the longest grant that targets accept; 0 means no limit.
	MaxGrant time.Duration
	// FirstStart is set if the whole deployment starts for the first time.
	FirstStart bool
	// Capacity is the VM's processor time in cores.
	Capacity float64
	// Memory is the memory of the VM in bytes and MaxFDs the number of descriptors that
	// the process may open; 0 means that they aren't known.
	Memory, MaxFDs int64
}

// Platform is what a gateway VM needs from its platform. The platform adapter
// implements it and makes no decisions.
type Platform interface {
	replica.Store
	// Settings reloads the settings.
	Settings() (Settings, error)
	Headers() *protocol.Headers
	Decoder
	Orders
}

// Decoder decodes the records of operators and targets.
type Decoder interface {
	// DecodeConfig decodes a record of the stream replica.Config. Exactly one of
	// the results is not nil unless there is an error.
	DecodeConfig(replica.Record) (*routing.Config, *Evacuation, error)
	// DecodeTarget decodes a record of the stream replica.Targets.
	DecodeTarget(replica.Record) (discovery.Registration, error)
}

// Evacuation starts or ends the evacuation of a failure domain.
type Evacuation struct {
	FailureDomain core.FailureDomain
	Evacuated     bool
}

// Orders sends grants and releases of keys to targets. Ranges of keys include
// both ends.
type Orders interface {
	// Grant reports whether the target accepted the grant; false means that it has
	// seen a higher fencing token.
	Grant(ctx context.Context, to ownership.Holder, from, through uint16, token int64, duration time.Duration, handover string) (bool, error)
	// Release returns the handover once the work on the keys has ended.
	Release(ctx context.Context, holder ownership.Holder, from, through uint16, token int64) (handover string, err error)
}

// ErrOtherProcess is returned if a grant or release reached another process than
// the intended one.
var ErrOtherProcess = errors.New("node: another process responds at the address")
