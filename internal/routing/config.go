package routing

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/team"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Version grows with every change, not always by one.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// LoadControl switches on the decisions of docs/design/hard-load.md: how callers
	// share targets that can't serve all of them.
	LoadControl bool
	// Teams are those that may send requests. Without any, requests need no key.
	Teams []team.Team
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// LatencyObjective is the latency up to which a response has its full value.
	LatencyObjective time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Backends are the services that share the route's requests by weight.
	Backends []Backend
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// Anonymous is set if requests need no key although there are teams.
	Anonymous bool
}

// Backend is a service that gets a share of a route's requests.
type Backend struct {
	Service core.Service
	// Weight is the share relative to the other backends of the route.
	Weight float64
}

// Service describes the targets of a service.
type Service struct {
	Name       core.Service
	HealthPath string
	// MaxConnections bounds the connections to a target over all VMs.
	MaxConnections int
	// ColdStart is how long a target stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the limit of requests per second to a cold target, over all VMs.
	// Zero means no limit.
	ColdRate float64
	// Sharded is set if a target runs only requests for keys that it was granted.
	Sharded bool
	// LongestRequest is the longest timeout of the routes that use the service. A
	// Table sets it.
	LongestRequest time.Duration
	// Objective is the shortest latency objective of the routes that use the service,
	// or 0. A Table sets it.
	Objective time.Duration
	// LoadControl is that of the configuration. A Table sets it.
	LoadControl bool
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
