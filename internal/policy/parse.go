package policy

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"celeryhook.example/celeryhook/internal/core"
)

// Fault is one reason for which a document is rejected.
type Fault struct {
	Section string
	Key     string
	Reason  string
}

func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Reason)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason)
}

// Faults are all reasons for which a document is rejected.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return "policy: " + strings.Join(lines, "; ")
}

// ErrSyntax wraps the error of a document that isn't INI.
var ErrSyntax = errors.New("policy: document isn't valid INI")

// MaxDocumentBytes bounds a document.
const MaxDocumentBytes = 2 << 20

// Parse validates a document. The error is Faults, or wraps ErrSyntax.
func Parse(document []byte) (*Policy, error) {
	if len(document) > MaxDocumentBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrSyntax, len(document), MaxDocumentBytes)
	}
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true}, document)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	p := &parser{policy: &Policy{
		Services: make(map[core.Service]Service),
		Targets:  make(map[core.Target]Target),
		Branches: make(map[core.Branch]Branch),
	}}
	p.parse(file)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.policy, nil
}

type parser struct {
	policy *Policy
	faults Faults
}

func (p *parser) fault(section, key, format string, args ...any) {
	p.faults = append(p.faults, Fault{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parse(file *ini.File) {
	p.parseDeployment(file)
	for _, s := range file.Sections() {
		kind, name, _ := strings.Cut(s.Name(), " ")
		switch kind {
		case ini.DefaultSection, "deployment", "control":
		case "service":
			p.parseService(s, core.Service(name))
		case "target":
			p.parseTarget(s, core.Target(name))
		case "route":
			p.parseRoute(s, name)
		default:
			p.fault(s.Name(), "", "unknown section")
		}
	}
}

func (p *parser) parseDeployment(file *ini.File) {
	s := file.Section("deployment")
	p.policy.Deployment = s.Key("name").String()
	for _, d := range s.Key("failure_domains").Strings(",") {
		p.policy.FailureDomains = append(p.policy.FailureDomains, core.FailureDomain(d))
	}
	if p.policy.Deployment == "" {
		p.fault("deployment", "name", "is missing")
	}
	if len(p.policy.FailureDomains) == 0 {
		p.fault("deployment", "failure_domains", "lists no failure domain")
	}
	c := file.Section("control")
	p.policy.Control = Control{
		Candidates:    c.Key("candidates").MustInt(2),
		Witnesses:     c.Key("witnesses").MustInt(1),
		Remember:      c.Key("remember").MustDuration(10 * time.Minute),
		MovesInFlight: c.Key("moves_in_flight").MustInt(4),
		MoveThreshold: c.Key("move_threshold").MustFloat64(0.25),
		MoveAfter:     c.Key("move_after").MustDuration(10 * time.Second),
		HotShare:      c.Key("hot_share").MustFloat64(0.3),
		HotKeys:       c.Key("hot_keys").MustInt(190),
	}
}

func (p *parser) parseService(s *ini.Section, name core.Service) {
	p.policy.Services[name] = Service{
		Name:      name,
		Division:  Division(s.Key("division").MustString(string(DivisionNone))),
		Ranges:    uint32(s.Key("ranges").MustUint(240)),
		Isolation: Isolation(s.Key("isolation").MustString(string(IsolationKeep))),
		Limits: Limits{
			Timeout:     s.Key("timeout").MustDuration(time.Second),
			QueueLength: s.Key("queue_length").MustInt(64),
			HoldTime:    s.Key("hold_time").MustDuration(time.Second),
			RetryBudget: s.Key("retry_budget").MustFloat64(0.1),
			HedgeBudget: s.Key("hedge_budget").MustFloat64(0.05),
			ColdSlots:   s.Key("cold_slots").MustInt(1),
			RampStep:    s.Key("ramp_step").MustInt(8),
			BodyBytes:   s.Key("body_bytes").MustInt64(1 << 20),
			CallerShare: s.Key("caller_share").MustFloat64(0.5),
		},
	}
}

func (p *parser) parseTarget(s *ini.Section, id core.Target) {
	t := Target{
		ID:            id,
		Service:       core.Service(s.Key("service").String()),
		FailureDomain: core.FailureDomain(s.Key("failure_domain").String()),
		Address:       s.Key("address").String(),
		Slots:         s.Key("slots").MustInt(1),
		Connections:   s.Key("connections").MustInt(60),
		ChecksGrants:  s.Key("checks_grants").MustBool(true),
		Leaving:       s.Key("leaving").MustBool(false),
		Speed:         s.Key("speed").MustFloat64(1),
	}
	if !slices.Contains(p.policy.FailureDomains, t.FailureDomain) {
		p.fault(s.Name(), "failure_domain", "%q isn't in [deployment] failure_domains", t.FailureDomain)
	}
	p.policy.Targets[id] = t
}

func (p *parser) parseRoute(s *ini.Section, name string) {
	class, err := core.ParseClass(s.Key("class").MustString("lookup"))
	if err != nil {
		p.fault(s.Name(), "class", "%q isn't one of payment, cancellation, booking, lookup", s.Key("class").String())
	}
	kind, keyName, _ := strings.Cut(s.Key("key").String(), ":")
	p.policy.Routes = append(p.policy.Routes, Route{
		Name:       name,
		Method:     s.Key("method").MustString("GET"),
		Path:       s.Key("path").String(),
		Service:    core.Service(s.Key("service").String()),
		Class:      class,
		Idempotent: s.Key("idempotent").MustBool(class == core.ClassLookup),
		Key:        KeySource{Kind: kind, Name: keyName},
		MissingID:  MissingID(s.Key("missing_id").MustString(string(MissingIDAssign))),
	})
}
