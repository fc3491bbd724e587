package wire

import (
	"encoding/json"
	"fmt"
	"time"
)

// VM describes a machine to its settings file.
type VM struct {
	Name, IP, Zone string
	// Seeds are peer addresses of other machines.
	Seeds []string
	// Callers, Ready and Peers are what it listens on, Store is the store's
	// address.
	Callers, Ready, Peers, Store string
}

// Grace is the time between SIGTERM and SIGKILL in the settings of all machines.
const Grace = 6 * time.Second

// Settings returns the settings file.
func (v VM) Settings() ([]byte, error) {
	b, err := json.Marshal(map[string]any{
		"nodeName": v.Name, "ip": v.IP, "zone": v.Zone, "seeds": v.Seeds, "contracts": []string{"platform"},
		"listen":   map[string]string{"front": v.Callers, "readyAddr": v.Ready, "control": v.Peers},
		"bounds":   []string{"grace=" + milliseconds(Grace), "retryBudgetRatio=0.2", "budgetExtra=60"},
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
}

// Route sends the paths with a prefix to a service.
type Route struct {
	Name, Prefix string
	// Unsafe requests may run once at most.
	Unsafe  bool
	Service string
}

// ServiceOptions describe a service to all machines.
type ServiceOptions struct {
	Name     string
	MaxConns int
	// Cold is how long its servers are cold, and ColdRate the requests a second
	// that a cold one bears.
	Cold     time.Duration
	ColdRate float64
	Sharded  bool
}

// grid is a list of objects: the names of the fields, and a row for each object.
type grid struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// Configure writes a configuration as operators do.
func (s *Store) Configure(c Config) error {
	routes := grid{Columns: []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "maxAttempts", "service"}}
	for _, r := range c.Routes {
		kind, priority := "safe", 2
		if r.Unsafe {
			kind, priority = "unsafe", 1
		}
		routes.Rows = append(routes.Rows, []any{r.Name, Host, r.Prefix, kind, milliseconds(c.Timeout), "1s", priority, 2, r.Service})
	}
	services := grid{Columns: []string{"name", "healthPath", "maxConns", "coldStart", "coldPerS", "sharded"}}
	for _, x := range c.Services {
		var sharded any // null stands for a field that is left out
		if x.Sharded {
			sharded = true
		}
		services.Rows = append(services.Rows, []any{x.Name, "/health", x.MaxConns, milliseconds(x.Cold), x.ColdRate, sharded})
	}
	b, err := json.Marshal(map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeout": "3s", "idleTimeout": "15s"},
	})
	if err != nil {
		return fmt.Errorf("wire: configuration %d: %w", c.Version, err)
	}
	s.Put(topicOperators, keyConfig, b)
	return nil
}

// Evacuate empties a zone, or takes it back.
func (s *Store) Evacuate(zone string, out bool) {
	if out {
		s.Put(topicOperators, keyEvacuate+zone, []byte("{}"))
		return
	}
	s.Put(topicOperators, keyEvacuate+zone, nil)
}

// ForgetHistory drops the history of what operators and servers wrote.
func (s *Store) ForgetHistory() {
	s.Forget(topicOperators)
	s.Forget(topicServers)
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
