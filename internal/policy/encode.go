package policy

import (
	"maps"
	"slices"
	"strings"

	"celeryhook.example/celeryhook/internal/core"
)

// entry is a key of a section with its value.
type entry struct {
	key, value string
	// isDefault is set if the value is the default.
	isDefault bool
}

func (e entry) notDefault() bool { return !e.isDefault }

// block is a section of the canonical document.
type block struct {
	title   string
	entries []entry
}

func (b *block) add(key, value, defaultValue string) {
	b.entries = append(b.entries, entry{key: key, value: value, isDefault: value == defaultValue})
}

func addNumbers[S any](b *block, from *S, numbers ...number[S]) {
	for _, n := range numbers {
		b.add(n.name, n.unit.format(loadField(n.field(from))), n.unit.format(n.defaultValue))
	}
}

// Encode returns the canonical document of a policy: sections and keys in a fixed
// order, with or without the keys that have their default.
func (p *Policy) Encode(defaults bool) []byte {
	var out strings.Builder
	for _, b := range p.blocks() {
		if b.title == sectionControl && !defaults && !slices.ContainsFunc(b.entries, entry.notDefault) {
			continue
		}
		if out.Len() > 0 {
			out.WriteByte('\n')
		}
		out.WriteString("[" + b.title + "]\n")
		for _, e := range b.entries {
			if defaults || !e.isDefault {
				out.WriteString(e.key + " = " + e.value + "\n")
			}
		}
	}
	return []byte(out.String())
}

// blocks returns all sections with all keys, including those with defaults.
func (p *Policy) blocks() []block {
	out := []block{p.deploymentBlock(), p.controlBlock()}
	for _, name := range slices.Sorted(maps.Keys(p.Services)) {
		out = append(out, serviceBlock(p.Services[name]))
	}
	for _, id := range slices.Sorted(maps.Keys(p.Targets)) {
		out = append(out, targetBlock(p.Targets[id]))
	}
	for _, r := range p.Routes {
		out = append(out, routeBlock(r))
	}
	if len(p.Deviations) > 0 {
		out = append(out, p.deviationBlock())
	}
	for _, name := range slices.Sorted(maps.Keys(p.Branches)) {
		out = append(out, branchBlock(p.Branches[name]))
	}
	return out
}

func (p *Policy) deploymentBlock() block {
	b := block{title: sectionDeployment}
	b.add("name", p.Deployment, "")
	domains := make([]string, len(p.FailureDomains))
	for i, d := range p.FailureDomains {
		domains[i] = string(d)
	}
	b.add("failure_domains", strings.Join(domains, ", "), "")
	return b
}

func (p *Policy) controlBlock() block {
	b := block{title: sectionControl}
	control := p.Control
	addNumbers(&b, &control, controlNumbers...)
	return b
}

func serviceBlock(s Service) block {
	b := block{title: "service " + string(s.Name)}
	b.add("division", string(s.Sharding), string(ShardingNone))
	b.add("isolation", string(s.Isolation), string(IsolationKeep))
	addNumbers(&b, &s, rangesNumber)
	addNumbers(&b, &s.Limits, limitNumbers...)
	return b
}

func targetBlock(t Target) block {
	b := block{title: "target " + string(t.ID)}
	b.add("service", string(t.Service), "")
	b.add("failure_domain", string(t.FailureDomain), "")
	b.add("address", t.Address, "")
	b.add("checks_grants", yesNo(t.ChecksGrants), "yes")
	b.add("leaving", yesNo(t.Leaving), "no")
	addNumbers(&b, &t, targetNumbers...)
	return b
}

func routeBlock(r Route) block {
	b := block{title: "route " + r.Name}
	b.add("method", r.Method, "GET")
	b.add("path", r.Path, "")
	b.add("service", string(r.Service), "")
	b.add("class", r.Class.String(), core.ClassLookup.String())
	b.add("idempotent", yesNo(r.Idempotent), yesNo(r.Class == core.ClassLookup))
	if r.Key.Kind != "" {
		b.add("key", r.Key.Kind+":"+r.Key.Name, "")
	}
	b.add("missing_id", string(r.MissingID), string(MissingIDAssign))
	return b
}

func (p *Policy) deviationBlock() block {
	b := block{title: sectionDeviation}
	for _, name := range sortedLimits(p.Deviations) {
		n, _ := findLimit(name.Limit)
		bounds := p.Deviations[name]
		b.add(name.String(), n.unit.format(bounds.Min)+" "+boundsSeparator+" "+n.unit.format(bounds.Max), "")
	}
	return b
}

func branchBlock(br Branch) block {
	b := block{title: "branch " + string(br.Name)}
	for _, name := range br.Overrides {
		n, _ := findLimit(name.Limit)
		l := br.Limits[name.Service]
		b.add(name.String(), n.unit.format(loadField(n.field(&l))), "")
	}
	return b
}
