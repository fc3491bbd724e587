package demo

import (
	"fmt"
	"slices"
	"strings"

	"celeryhook.example/celeryhook/internal/core"
)

// Plan describes a deployment with the sizes given in docs/design.md
// section 1.1.
type Plan struct {
	Name           string
	FailureDomains []core.FailureDomain
	Services       []ServicePlan
	Routes         string
	// BookingPath is the path of a booking, LookupPath the path of a lookup.
	BookingPath, LookupPath string
	// BookingBody is an example of the body of a booking.
	BookingBody string
	// LookupService and LookupKey are the service and the key of the lookup.
	LookupService core.Service
	LookupKey     string
}

// ServicePlan describes a service and its targets. Slots and Connections are
// limits of each target.
type ServicePlan struct {
	Name        core.Service
	Targets     int
	Sharded     bool
	Slots       int
	Connections int
}

// Plans are the deployments that the demo can run.
var Plans = map[string]Plan{
	"bratislava": {
		Name:           "bratislava",
		FailureDomains: []core.FailureDomain{"ba-petrzalka", "ba-ruzinov", "ba-dubravka"},
		Services: []ServicePlan{
			{Name: "rozvrh", Targets: 10, Sharded: true, Slots: 6, Connections: 100},
			{Name: "rezervacie", Targets: 6, Slots: 6, Connections: 100},
			{Name: "macky", Targets: 10, Slots: 6, Connections: 100},
		},
		Routes: `
[route slot]
method = GET
path = /rozvrh/{slot}
service = rozvrh
class = lookup
key = path:slot

[route slot-booking]
method = POST
path = /rozvrh/{slot}/rezervacia
service = rozvrh
class = booking
key = path:slot

[route reservation]
method = GET
path = /rezervacie/{id}
service = rezervacie
class = lookup

[route reservation-cancel]
method = DELETE
path = /rezervacie/{id}
service = rezervacie
class = cancellation

[route payment]
method = POST
path = /rezervacie/{id}/platba
service = rezervacie
class = payment
missing_id = refuse

[route cat]
method = GET
path = /macky/{id}
service = macky
class = lookup
`,
		BookingPath: "/rozvrh/2026-12-05T10:00/rezervacia", LookupPath: "/rozvrh/2026-12-05T10:00", BookingBody: `{"guests":2}`,
		LookupService: "rozvrh", LookupKey: "2026-12-05T10:00",
	},
	"great-lakes": {
		Name:           "great-lakes",
		FailureDomains: []core.FailureDomain{"duluth", "marquette", "thunder-bay"},
		Services: []ServicePlan{
			{Name: "template-lib", Targets: 15, Slots: 4, Connections: 60},
			{Name: "bench-desk", Targets: 6, Slots: 4, Connections: 60},
			{Name: "class-board", Targets: 15, Sharded: true, Slots: 4, Connections: 60},
		},
		Routes: `
[route template]
method = GET
path = /templates/{id}
service = template-lib
class = lookup

[route bench-booking]
method = POST
path = /benches/{id}/bookings
service = bench-desk
class = booking

[route bench-cancel]
method = DELETE
path = /benches/{id}/bookings/{booking}
service = bench-desk
class = cancellation

[route class]
method = GET
path = /classes/{class}
service = class-board
class = lookup
key = path:class

[route class-booking]
method = POST
path = /classes/{class}/bookings
service = class-board
class = booking
key = path:class

[route class-payment]
method = POST
path = /classes/{class}/payments
service = class-board
class = payment
key = path:class
missing_id = refuse
`,
		BookingPath: "/classes/strip-canoe-2026/bookings", LookupPath: "/classes/strip-canoe-2026", BookingBody: `{"seats":1}`,
		LookupService: "class-board", LookupKey: "strip-canoe-2026",
	},
}

// BookingPathFor returns the path of a booking with the given key.
func (p Plan) BookingPathFor(key string) string {
	return strings.Replace(p.BookingPath, p.LookupKey, key, 1)
}

// Names returns the sorted names of the plans.
func Names() []string {
	var out []string
	for name := range Plans {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// targets returns the targets of the plan. The targets of each service are
// assigned to the failure domains round-robin.
func (p Plan) targets() []targetPlan {
	var out []targetPlan
	for _, s := range p.Services {
		for i := range s.Targets {
			out = append(out, targetPlan{
				id:      core.Target(fmt.Sprintf("%s-%d", s.Name, i+1)),
				domain:  p.FailureDomains[i%len(p.FailureDomains)],
				service: s,
			})
		}
	}
	return out
}

type targetPlan struct {
	id      core.Target
	domain  core.FailureDomain
	service ServicePlan
	address string
}

// document returns the policy document of the plan with the addresses of the
// targets.
func (p Plan) document(targets []targetPlan) string {
	var b strings.Builder
	domains := make([]string, len(p.FailureDomains))
	for i, d := range p.FailureDomains {
		domains[i] = string(d)
	}
	fmt.Fprintf(&b, "[deployment]\nname = %s\nfailure_domains = %s\n\n", p.Name, strings.Join(domains, ", "))
	for _, s := range p.Services {
		division := "none"
		if s.Sharded {
			division = "key"
		}
		fmt.Fprintf(&b, "[service %s]\ndivision = %s\n\n", s.Name, division)
	}
	for _, t := range targets {
		fmt.Fprintf(&b, "[target %s]\nservice = %s\nfailure_domain = %s\naddress = %s\nslots = %d\nconnections = %d\n\n",
			t.id, t.service.Name, t.domain, t.address, t.service.Slots, t.service.Connections)
	}
	b.WriteString(strings.TrimPrefix(p.Routes, "\n"))
	return b.String()
}
