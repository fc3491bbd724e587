package policy

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/validation"
)

// Fault is one reason for which a document is rejected.
type Fault = validation.Issue

// Faults are all reasons for which a document is rejected.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return "policy: " + strings.Join(lines, "; ")
}

// ErrSyntax wraps the error of a document that isn't INI.
var ErrSyntax = errors.New("policy: document isn't valid INI")

// MaxDocumentBytes bounds a document.
const MaxDocumentBytes = 2 << 20

// Sections that occur once.
const (
	sectionDeployment = "deployment"
	sectionControl    = "control"
	sectionDeviation  = "deviation"
)

// Parse validates a document. The error is Faults, or wraps ErrSyntax.
func Parse(document []byte) (*Policy, error) {
	if len(document) > MaxDocumentBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrSyntax, len(document), MaxDocumentBytes)
	}
	file, err := ini.LoadSources(loadOptions, document)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	p := &parser{
		sections: make(map[string][]*section),
		policy: &Policy{
			Services:   make(map[core.Service]Service),
			Targets:    make(map[core.Target]Target),
			Branches:   make(map[core.Branch]Branch),
			Deviations: make(map[LimitName]Bounds),
		},
	}
	p.split(file)
	p.parse()
	p.check()
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	p.policy.capacity = capacities(p.policy.Targets)
	return p.policy, nil
}

type parser struct {
	policy *Policy
	faults Faults
	// sections are those of the document by kind.
	sections map[string][]*section
}

// split sorts the sections by kind, the first word of their title.
func (p *parser) split(file *ini.File) {
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		title := s.Name()
		if title == ini.DefaultSection {
			for _, k := range s.Keys() {
				p.fault(title, k.Name(), "stands outside of any section")
			}
			continue
		}
		if seen[title] {
			p.fault(title, "", "section is given more than once")
			continue
		}
		seen[title] = true
		kind, name, named := strings.Cut(title, " ")
		if !p.knownTitle(kind, named) {
			p.fault(title, "", "unknown section")
			continue
		}
		if err := checkName(name); named && err != nil {
			p.fault(title, "", "%v", err)
			continue
		}
		p.sections[kind] = append(p.sections[kind], readSection(s, &p.faults))
	}
}

func (p *parser) knownTitle(kind string, named bool) bool {
	switch kind {
	case sectionDeployment, sectionControl, sectionDeviation:
		return !named
	case "service", "target", "route", "branch":
		return named
	}
	return false
}

func (p *parser) fault(section, key, format string, args ...any) {
	p.faults = append(p.faults, Fault{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// single returns a section that occurs once, or an empty one.
func (p *parser) single(title string) *section {
	if found := p.sections[title]; len(found) > 0 {
		return found[0]
	}
	return emptySection(title, &p.faults)
}

// each parses all sections of a kind.
func (p *parser) each(kind string, parse func(s *section, name string)) {
	for _, s := range p.sections[kind] {
		_, name, _ := strings.Cut(s.title, " ")
		parse(s, name)
		s.checkKeys()
	}
}

func (p *parser) parse() {
	p.parseDeployment(p.single(sectionDeployment))
	p.parseControl(p.single(sectionControl))
	p.each("service", p.parseService)
	p.each("target", p.parseTarget)
	p.each("route", p.parseRoute)
	slices.SortFunc(p.policy.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	p.parseDeviation(p.single(sectionDeviation))
	p.each("branch", p.parseBranch)
}

func (p *parser) parseDeployment(s *section) {
	p.policy.Deployment = s.name("name")
	list := s.required("failure_domains")
	if list != "" {
		for d := range strings.SplitSeq(list, ",") {
			p.addFailureDomain(s, strings.TrimSpace(d))
		}
	}
	s.checkKeys()
}

func (p *parser) addFailureDomain(s *section, name string) {
	d := core.FailureDomain(name)
	if err := checkName(name); err != nil {
		s.fault("failure_domains", "%v", err)
		return
	}
	if slices.Contains(p.policy.FailureDomains, d) {
		s.fault("failure_domains", "%q is listed more than once", name)
		return
	}
	p.policy.FailureDomains = append(p.policy.FailureDomains, d)
}

func (p *parser) parseControl(s *section) {
	readNumbers(s, &p.policy.Control, controlNumbers...)
	s.checkKeys()
}

func (p *parser) parseService(s *section, name string) {
	service := Service{
		Name:      core.Service(name),
		Division:  Division(s.oneOf("division", string(DivisionNone), string(DivisionNone), string(DivisionKey))),
		Isolation: Isolation(s.oneOf("isolation", string(IsolationKeep), string(IsolationKeep), string(IsolationYield))),
	}
	readNumbers(s, &service, rangesNumber)
	readNumbers(s, &service.Limits, limitNumbers...)
	p.policy.Services[service.Name] = service
}

func (p *parser) parseTarget(s *section, name string) {
	t := Target{
		ID:            core.Target(name),
		Service:       core.Service(s.required("service")),
		FailureDomain: core.FailureDomain(s.required("failure_domain")),
		Address:       parseAddress(s, s.required("address")),
		ChecksGrants:  s.yes("checks_grants", true),
		Leaving:       s.yes("leaving", false),
	}
	readNumbers(s, &t, targetNumbers...)
	p.policy.Targets[t.ID] = t
}

// parseAddress checks host:port. A host name isn't allowed: it would make
// serving depend on a name server.
func parseAddress(s *section, text string) string {
	if text == "" {
		return ""
	}
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		s.fault("address", "%q isn't an IP address and port", text)
	case a.Port() == 0:
		s.fault("address", "%q has port 0", text)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "":
		s.fault("address", "%q isn't the address of one host", text)
	default:
		return a.String()
	}
	return ""
}
