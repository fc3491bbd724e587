package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// host is the Host header that all routes match.
	host = "desk.example"
	// maxBodyBytes is the limit of the configuration for a request's body. It is the
	// one in the users' example of a configuration.
	maxBodyBytes = 64 << 20
)

type route struct {
	prefix, kind, service string
	timeout               time.Duration
}

// configure writes a configuration as the operator does. All services are divided by
// key or none is.
func (s *scene) configure(version int, sharded bool, routes ...route) error {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	r := table{Columns: []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "weightedBackends", "maxAttempts", "service"}}
	services := table{Columns: []string{"name", "healthPath", "maxConns", "protocol", "tls", "coldStart", "coldPerS", "sharded", "warmup", "grants"}}
	known := make(map[string]bool)
	for _, x := range routes {
		r.Rows = append(r.Rows, []any{"r" + x.prefix, host, x.prefix, x.kind, milliseconds(x.timeout), "500ms", 1, nil, 2, x.service})
		if known[x.service] {
			continue
		}
		known[x.service] = true
		row := []any{x.service, "/health", maxConns, "h1", false, "3s", 21.0, nil, nil, nil}
		if sharded {
			row = []any{x.service, "/health", maxConns, "h1", false, "3s", 21.0, true, "5s", "call"}
		}
		services.Rows = append(services.Rows, row)
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": r, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	s.store.Put("keyed.op", "config", b)
	return nil
}
