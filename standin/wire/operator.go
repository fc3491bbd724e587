package wire

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

// VM has the values of a VM's settings file.
type VM struct {
	Name, IP, Zone string
	// Seeds are peer addresses of other VMs.
	Seeds []string
	// Callers, Ready and Peers are the addresses to listen on. Store is the
	// address of the store.
	Callers, Ready, Peers, Store string
	// MemoryMB and MaxFDs are the memory of the VM in MB and the descriptors that its
	// process may open; 0 leaves them out of the settings.
	MemoryMB, MaxFDs int
}

// GracePeriod is the time between SIGTERM and SIGKILL in the settings of all VMs.
const GracePeriod = 6 * time.Second

// Settings returns the contents of the settings file.
func (v VM) Settings() ([]byte, error) {
	limits := make(map[string]any)
	if v.MemoryMB > 0 {
		limits["memoryMb"] = v.MemoryMB
	}
	if v.MaxFDs > 0 {
		limits["maxFds"] = v.MaxFDs
	}
	b, err := json.Marshal(map[string]any{
		"limits":   limits,
		"nodeName": v.Name, "ip": v.IP, "zone": v.Zone, "seeds": v.Seeds, "contracts": []string{"platform"}, "bootstrap": true,
		"listen":   map[string]string{"front": v.Callers, "readyAddr": v.Ready, "control": v.Peers},
		"bounds":   []string{"grace=" + milliseconds(GracePeriod), "retryBudgetRatio=0.2", "budgetExtra=60"},
		"platform": map[string]string{"address": v.Store, "form": "log"},
	})
	if err != nil {
		return nil, fmt.Errorf("wire: settings of %s: %w", v.Name, err)
	}
	return b, nil
}

// Config is a configuration. All routes have the same host and timeout.
type Config struct {
	Version  int
	Timeout  time.Duration
	Routes   []Route
	Services []ServiceOptions
	Teams    []Team
	// MaxBodyBytes bounds the body of a request; 0 means 1 MiB.
	MaxBodyBytes int64
}

// Team may send requests. PerSecond is 0 if it has no quota.
type Team struct {
	Name             string
	Keys             []string
	PerSecond, Burst float64
}

// Route matches paths by prefix and selects the service.
type Route struct {
	Name, Prefix string
	// Unsafe requests must run at most once.
	Unsafe bool
	// Download is set for requests with large responses, which may run more than once.
	Download bool
	Service  string
}

// ServiceOptions configure a service on all VMs.
type ServiceOptions struct {
	Name     string
	MaxConns int
	// Cold is the duration of a cold start, and ColdRate the requests per
	// second that a cold server can handle.
	Cold     time.Duration
	ColdRate float64
	Sharded  bool
}

// objectTable encodes a list of objects: the names of the fields, and a row for
// each object.
type objectTable struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// Configure writes a configuration to the topic of the operators.
func (s *Store) Configure(c Config) error {
	routes := objectTable{Columns: []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "maxAttempts", "service"}}
	for _, r := range c.Routes {
		kind, priority := "safe", 2
		if r.Unsafe {
			kind, priority = "unsafe", 1
		} else if r.Download {
			kind = "download"
		}
		routes.Rows = append(routes.Rows, []any{r.Name, Host, r.Prefix, kind, milliseconds(c.Timeout), "1s", priority, 2, r.Service})
	}
	services := objectTable{Columns: []string{"name", "healthPath", "maxConns", "coldStart", "coldPerS", "sharded"}}
	for _, x := range c.Services {
		var sharded any // null means that the field is absent
		if x.Sharded {
			sharded = true
		}
		services.Rows = append(services.Rows, []any{x.Name, "/health", x.MaxConns, milliseconds(x.Cold), x.ColdRate, sharded})
	}
	record := map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": cmp.Or(c.MaxBodyBytes, 1<<20), "headerTimeout": "3s", "idleTimeout": "15s"},
	}
	if len(c.Teams) > 0 {
		teams := objectTable{Columns: []string{"name", "apiKeys", "ratePerS", "burst"}}
		for _, t := range c.Teams {
			teams.Rows = append(teams.Rows, []any{t.Name, t.Keys, t.PerSecond, t.Burst})
		}
		record["tenants"] = teams
	}
	b, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("wire: configuration %d: %w", c.Version, err)
	}
	s.Put(topicOperators, keyConfig, b)
	return nil
}

// Evacuate starts or ends the evacuation of a zone.
func (s *Store) Evacuate(zone string, evacuated bool) {
	if evacuated {
		s.Put(topicOperators, keyEvacuate+zone, []byte("{}"))
		return
	}
	s.Put(topicOperators, keyEvacuate+zone, nil)
}

// CompactTopics compacts the topics of operators and servers.
func (s *Store) CompactTopics() {
	s.Compact(topicOperators)
	s.Compact(topicServers)
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
