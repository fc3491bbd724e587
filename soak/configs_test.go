package soak

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// config is one version: the paths that come and go with versions are those of
// this version and of the one before.
type config struct {
	version, previous int
	written, accepted time.Time
}

func (c config) has(path int) bool { return path == c.version || path == c.previous }

// life is one process of a VM.
type life struct {
	vm    string
	start int
}

// seen is when a process showed that it acts by a version.
type seen struct {
	index int
	at    time.Time
}

// configs are all versions in their order.
type configs struct {
	list []config
	seen map[life]seen
}

// document returns what operators write.
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

// nextConfig notes and returns a new version, before it is written.
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

// acceptedConfig notes the store's answer for the newest version.
func (c *checker) acceptedConfig() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configs.list[len(c.configs.list)-1].accepted = time.Now()
}

// lately returns paths of versions that are interesting now: the two in force,
// and the one that was dropped last.
func (c *checker) lately() []int {
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

// possible returns the versions that a request sent at a time may meet: from the
// newest that had to be in force on.
func (c *checker) possible(r *request, now time.Time) ([]config, bool) {
	if !c.history.calm(r.sent, now, place(r.vm.name), theStore) {
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

// checkConfigRun judges that a request ran.
func (c *checker) checkConfigRun(r *request, run wire.Run) {
	path, ok := pathVersion(r.uri)
	if !ok {
		return
	}
	if list, calm := c.possible(r, run.At); calm && !anyHas(list, path) {
		c.violate(InForce, "%s ran %s, a route that no configuration has that may be in force at %s", run.Server, r.uri, r.vm.name)
	}
	l := life{vm: r.vm.name, start: r.life}
	if s, ok := c.configs.seen[l]; ok && r.sent.Sub(s.at) > rollbackBound*c.slack && !anyHas(c.configs.list[s.index:], path) {
		c.violate(NeverBack, "%s at %s ran after a configuration without its route had an effect", r.uri, r.vm.name)
	}
	for i, v := range c.configs.list {
		if v.version != path {
			continue
		}
		if s, ok := c.configs.seen[l]; !ok || i > s.index {
			if c.configs.seen == nil {
				c.configs.seen = make(map[life]seen)
			}
			c.configs.seen[l] = seen{index: i, at: run.At}
		}
	}
}

// checkNotFound judges that a route was not found.
func (c *checker) checkNotFound(r *request, now time.Time) {
	path, ok := pathVersion(r.uri)
	if !ok {
		c.violate(InForce, "%s, which every configuration has, was not found at %s", r.uri, r.vm.name)
		return
	}
	if list, calm := c.possible(r, now); calm && allHave(list, path) {
		c.violate(InForce, "%s was not found at %s, though every configuration has it that may be in force", r.uri, r.vm.name)
	}
	s, ok := c.configs.seen[life{vm: r.vm.name, start: r.life}]
	if ok && r.sent.Sub(s.at) > rollbackBound*c.slack && allHave(c.configs.list[s.index:], path) {
		c.violate(NeverBack, "%s was not found at %s after a configuration with it had an effect", r.uri, r.vm.name)
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
