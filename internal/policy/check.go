package policy

import (
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// check reports the issues that concern more than one section.
func (p *parser) check() {
	p.checkTargets()
	p.checkRoutes()
	p.checkServices()
}

func (p *parser) checkTargets() {
	addresses := make(map[string]core.Target)
	for _, id := range slices.Sorted(maps.Keys(p.policy.Targets)) {
		t := p.policy.Targets[id]
		title := "target " + string(id)
		service, ok := p.policy.Services[t.Service]
		if !ok && t.Service != "" {
			p.addIssue(title, "service", "there is no section [service %s]", t.Service)
		}
		if ok && t.Slots < service.Limits.ColdSlots {
			p.addIssue(title, "slots", "%d is less than the %d cold_slots of service %q", t.Slots, service.Limits.ColdSlots, t.Service)
		}
		if t.FailureDomain != "" && !slices.Contains(p.policy.FailureDomains, t.FailureDomain) {
			p.addIssue(title, "failure_domain", "%q isn't in [deployment] failure_domains", t.FailureDomain)
		}
		if t.Connections < t.Slots {
			p.addIssue(title, "connections", "%d is less than the %d slots", t.Connections, t.Slots)
		}
		if other, ok := addresses[t.Address]; ok && t.Address != "" {
			p.addIssue(title, "address", "%s is also the address of target %q", t.Address, other)
		}
		addresses[t.Address] = id
	}
}

func (p *parser) checkRoutes() {
	conflicting := conflicts(p.policy.Routes)
	for i, r := range p.policy.Routes {
		title := "route " + r.Name
		if reason, ok := conflicting[i]; ok {
			p.addIssue(title, "path", "%s", reason)
		}
		service, ok := p.policy.Services[r.Service]
		switch {
		case r.Service == "":
		case !ok:
			p.addIssue(title, "service", "there is no section [service %s]", r.Service)
		case service.Sharding == ShardingKey && r.Key.Kind == "":
			p.addIssue(title, "key", "is missing; service %q is divided by key", r.Service)
		case service.Sharding == ShardingNone && r.Key.Kind != "":
			p.addIssue(title, "key", "service %q isn't divided by key", r.Service)
		}
	}
}

func (p *parser) checkServices() {
	if len(p.policy.Services) == 0 {
		p.addIssue("service", "", "the document has no service")
	}
	targets := make(map[core.Service]bool)
	for _, t := range p.policy.Targets {
		targets[t.Service] = true
	}
	routes := make(map[core.Service]bool)
	for _, r := range p.policy.Routes {
		routes[r.Service] = true
	}
	for _, name := range slices.Sorted(maps.Keys(p.policy.Services)) {
		if !targets[name] {
			p.addIssue("service "+string(name), "", "no target serves it")
		}
		if !routes[name] {
			p.addIssue("service "+string(name), "", "no route leads to it")
		}
	}
}
