package soak

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// config is one version of the configuration. Besides the permanent routes it has
// one route for this version and one for the previous version.
type config struct {
	version, previous int
	written, accepted time.Time
}

func (c config) has(path int) bool { return path == c.version || path == c.previous }

// vmProcess identifies a process of a VM.
type vmProcess struct {
	vm    string
	start int
}

// appliedConfig is the newest version that a process has shown to apply, as an
// index into configs.list, and when it did first.
type appliedConfig struct {
	index int
	at    time.Time
}

// configs are all versions in order.
type configs struct {
	list    []config
	applied map[vmProcess]appliedConfig
}

// document returns the configuration as operators write it.
func (c config) document() wire.Config {
	out := wire.Config{
		Version: c.version, Timeout: 4 * time.Second,
		Routes: []wire.Route{
			{Name: "read", Prefix: "/read/", Service: "desk"},
			{Name: "book", Prefix: "/book/", Unsafe: true, Service: "desk"},
			{Name: "seat", Prefix: "/seat/", Service: "seats"},
			{Name: "hold", Prefix: "/hold/", Unsafe: true, Service: "seats"},
		},
	}
	for _, v := range []int{c.version, c.previous} {
		if v > 0 {
			out.Routes = append(out.Routes, wire.Route{Name: fmt.Sprint("v", v), Prefix: fmt.Sprintf("/v/%d/", v), Service: "desk"})
		}
	}
	for _, name := range []string{"desk", "seats"} {
		out.Services = append(out.Services, wire.ServiceOptions{
			Name: name, MaxConns: 200, Cold: coldTime, ColdRate: coldRate, Sharded: name == "seats",
		})
	}
	return out
}

// nextConfig records and returns a new version. It is called before the version
// is written.
func (c *checker) nextConfig(step int) config {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := config{version: step, written: time.Now()}
	if l := c.configs.list; len(l) > 0 {
		n.previous = l[len(l)-1].version
		n.version = n.previous + step
	}
	c.configs.list = append(c.configs.list, n)
	return n
}

// acceptedConfig records that the store has accepted the newest version.
func (c *checker) acceptedConfig() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configs.list[len(c.configs.list)-1].accepted = time.Now()
}

// recentVersions returns the versions whose routes are worth requesting: the two
// of the newest configuration, and the one that was removed last.
func (c *checker) recentVersions() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.configs.list
	var out []int
	for _, v := range l[max(0, len(l)-3):] {
		out = append(out, v.version)
	}
	return out
}

func pathVersion(uri string) (int, bool) {
	var v int
	n, err := fmt.Sscanf(uri, "/v/%d/", &v)
	return v, err == nil && n == 1
}

// possibleConfigs returns the versions by which a request may be handled: the
// newest that must have been in force when it was sent, and all later ones. It
// reports false if a disturbance suspends the time bounds.
func (c *checker) possibleConfigs(r *request, now time.Time) ([]config, bool) {
	if !c.history.undisturbed(r.sent, now, component(r.vm.name), storeComponent) {
		return nil, false
	}
	from := 0
	for i, v := range c.configs.list {
		if !v.accepted.IsZero() && r.sent.Sub(v.accepted) > configBound*c.slack {
			from = i
		}
	}
	return c.configs.list[from:], true
}

// checkConfigRun checks that the route of a request that ran may be in force.
func (c *checker) checkConfigRun(r *request, run wire.Run) {
	path, ok := pathVersion(r.uri)
	if !ok {
		return
	}
	if list, undisturbed := c.possibleConfigs(r, run.At); undisturbed && !anyHas(list, path) {
		c.violate(ConfigInForce, "%s ran %s, but no configuration that may be in force at %s has the route", run.Server, r.uri, r.vm.name)
	}
	p := vmProcess{vm: r.vm.name, start: r.process}
	if applied, ok := c.configs.applied[p]; ok && r.sent.Sub(applied.at) > rollbackBound*c.slack && !anyHas(c.configs.list[applied.index:], path) {
		c.violate(ConfigMonotonic, "%s ran at %s after a configuration without its route was applied", r.uri, r.vm.name)
	}
	for i, v := range c.configs.list {
		if v.version != path {
			continue
		}
		if applied, ok := c.configs.applied[p]; !ok || i > applied.index {
			if c.configs.applied == nil {
				c.configs.applied = make(map[vmProcess]appliedConfig)
			}
			c.configs.applied[p] = appliedConfig{index: i, at: run.At}
		}
	}
}

// checkNotFound checks that the route of a request that got status 404 may be
// missing.
func (c *checker) checkNotFound(r *request, now time.Time) {
	path, ok := pathVersion(r.uri)
	if !ok {
		c.violate(ConfigInForce, "%s was not found at %s, but every configuration has the route", r.uri, r.vm.name)
		return
	}
	if list, undisturbed := c.possibleConfigs(r, now); undisturbed && allHave(list, path) {
		c.violate(ConfigInForce, "%s was not found at %s, but every configuration that may be in force has the route", r.uri, r.vm.name)
	}
	applied, ok := c.configs.applied[vmProcess{vm: r.vm.name, start: r.process}]
	if ok && r.sent.Sub(applied.at) > rollbackBound*c.slack && allHave(c.configs.list[applied.index:], path) {
		c.violate(ConfigMonotonic, "%s was not found at %s after a configuration with its route was applied", r.uri, r.vm.name)
	}
}

func anyHas(list []config, path int) bool {
	for _, c := range list {
		if c.has(path) {
			return true
		}
	}
	return false
}

func allHave(list []config, path int) bool {
	for _, c := range list {
		if !c.has(path) {
			return false
		}
	}
	return true
}
