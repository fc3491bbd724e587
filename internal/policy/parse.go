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

// Issue is one reason why a document is rejected.
type Issue = validation.Issue

// Issues are all reasons why a document is rejected.
type Issues []Issue

func (list Issues) Error() string {
	lines := make([]string, len(list))
	for i, one := range list {
		lines[i] = one.String()
	}
	return "policy: " + strings.Join(lines, "; ")
}

// ErrSyntax is wrapped by the errors of documents that are too large or are not
// valid INI.
var ErrSyntax = errors.New("policy: document isn't valid INI")

// MaxDocumentBytes limits the size of a document.
const MaxDocumentBytes = 2 << 20

// Sections that occur once.
const (
	sectionDeployment = "deployment"
	sectionControl    = "control"
	sectionDeviation  = "deviation"
)

// Parse parses and validates a document. The error is of type Issues, or wraps
// ErrSyntax.
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
	p.splitSections(file)
	p.parse()
	p.check()
	if len(p.issues) > 0 {
		return nil, p.issues
	}
	p.policy.capacity = capacities(p.policy.Targets)
	return p.policy, nil
}

type parser struct {
	policy *Policy
	issues Issues
	// sections holds the document's sections by kind.
	sections map[string][]*section
}

// splitSections groups the sections by kind, the first word of their title.
func (p *parser) splitSections(file *ini.File) {
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		title := s.Name()
		if title == ini.DefaultSection {
			for _, k := range s.Keys() {
				p.addIssue(title, k.Name(), "stands outside of any section")
			}
			continue
		}
		if seen[title] {
			p.addIssue(title, "", "section is given more than once")
			continue
		}
		seen[title] = true
		kind, name, named := strings.Cut(title, " ")
		if !p.knownTitle(kind, named) {
			p.addIssue(title, "", "unknown section")
			continue
		}
		if err := checkName(name); named && err != nil {
			p.addIssue(title, "", "%v", err)
			continue
		}
		p.sections[kind] = append(p.sections[kind], readSection(s, &p.issues))
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

func (p *parser) addIssue(section, key, format string, args ...any) {
	p.issues = append(p.issues, Issue{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// singleSection returns a section that occurs at most once, or an empty one.
func (p *parser) singleSection(title string) *section {
	if found := p.sections[title]; len(found) > 0 {
		return found[0]
	}
	return emptySection(title, &p.issues)
}

// eachSection parses all sections of a kind.
func (p *parser) eachSection(kind string, parse func(s *section, name string)) {
	for _, s := range p.sections[kind] {
		_, name, _ := strings.Cut(s.title, " ")
		parse(s, name)
		s.reportUnknownKeys()
	}
}

func (p *parser) parse() {
	p.parseDeployment(p.singleSection(sectionDeployment))
	p.parseControl(p.singleSection(sectionControl))
	p.eachSection("service", p.parseService)
	p.eachSection("target", p.parseTarget)
	p.eachSection("route", p.parseRoute)
	slices.SortFunc(p.policy.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	p.parseDeviation(p.singleSection(sectionDeviation))
	p.eachSection("branch", p.parseBranch)
}

func (p *parser) parseDeployment(s *section) {
	p.policy.Deployment = s.name("name")
	list := s.required("failure_domains")
	if list != "" {
		for d := range strings.SplitSeq(list, ",") {
			p.addFailureDomain(s, strings.TrimSpace(d))
		}
	}
	s.reportUnknownKeys()
}

func (p *parser) addFailureDomain(s *section, name string) {
	d := core.FailureDomain(name)
	if err := checkName(name); err != nil {
		s.addIssue("failure_domains", "%v", err)
		return
	}
	if slices.Contains(p.policy.FailureDomains, d) {
		s.addIssue("failure_domains", "%q is listed more than once", name)
		return
	}
	p.policy.FailureDomains = append(p.policy.FailureDomains, d)
}

func (p *parser) parseControl(s *section) {
	readNumbers(s, &p.policy.Control, controlNumbers...)
	s.reportUnknownKeys()
}

func (p *parser) parseService(s *section, name string) {
	service := Service{
		Name:      core.Service(name),
		Sharding:  Sharding(s.oneOf("division", string(ShardingNone), string(ShardingNone), string(ShardingKey))),
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
		ChecksGrants:  s.boolean("checks_grants", true),
		Leaving:       s.boolean("leaving", false),
	}
	readNumbers(s, &t, targetNumbers...)
	p.policy.Targets[t.ID] = t
}

// parseAddress parses IP:port. Host names are not allowed, since requests would
// then depend on DNS.
func parseAddress(s *section, text string) string {
	if text == "" {
		return ""
	}
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		s.addIssue("address", "%q isn't an IP address and port", text)
	case a.Port() == 0:
		s.addIssue("address", "%q has port 0", text)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "":
		s.addIssue("address", "%q isn't the address of one host", text)
	default:
		return a.String()
	}
	return ""
}
