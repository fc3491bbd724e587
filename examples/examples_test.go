// Package examples_test checks the example policies and settings files.
package examples_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/settings"
)

// sizes are the sizes of the deployments in docs/design.md section 1.1.
var sizes = map[string]struct {
	services           map[core.Service]int
	sharded            core.Service
	slots, connections int
}{
	"bratislava": {map[core.Service]int{"rozvrh": 10, "rezervacie": 6, "macky": 10}, "rozvrh", 6, 100},
	"great-lakes": {
		map[core.Service]int{"template-lib": 15, "bench-desk": 6, "class-board": 15}, "class-board", 4, 60,
	},
}

// Guards against example policies that are invalid or differ in size from
// docs/design.md.
func TestPolicies(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			document, err := os.ReadFile(filepath.Join(name, "policy.ini"))
			is.NoErr(err)
			p, err := policy.Parse(document)
			is.NoErr(err)
			is.Equal(p.Deployment, name)
			counts := make(map[core.Service]int)
			for _, target := range p.Targets {
				counts[target.Service]++
				is.Equal(target.Slots, size.slots)
				is.Equal(target.Connections, size.connections)
				a, err := netip.ParseAddrPort(target.Address)
				is.True(err == nil && a.Addr().IsLoopback())
			}
			is.Equal(counts, size.services)
			for service, s := range p.Services {
				is.Equal(s.Sharding == policy.ShardingKey, service == size.sharded)
				for _, d := range p.FailureDomains {
					is.True(p.DomainCapacity(service, d) > 0) // each failure domain has its own targets
				}
			}
			checkRoutesAndBranches(is, p)
		})
	}
}

func checkRoutesAndBranches(is *is.I, p *policy.Policy) {
	classes := make(map[core.Class]bool)
	for _, r := range p.Routes {
		classes[r.Class] = true
		is.Equal(r.Idempotent, r.Class == core.ClassLookup)
	}
	is.Equal(len(classes), int(core.NumClasses))
	is.True(len(p.Branches) == 2 || len(p.Branches) == 3)
	for _, b := range p.Branches {
		deviates := false
		for service, limits := range b.Limits {
			deviates = deviates || limits != p.Services[service].Limits
		}
		is.True(deviates)
	}
}

// Guards against settings of the entry VMs that contradict each other or the
// policy. A VM would be unreachable if an address were used twice or a peer
// were listed with another address.
func TestSettings(t *testing.T) {
	for name := range sizes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files, err := filepath.Glob(filepath.Join(name, "*-[0-9].ini"))
			is.NoErr(err)
			is.Equal(len(files), 9)
			entries := make(map[core.VM]settings.Entry)
			domains := make(map[core.FailureDomain]int)
			addresses := make(map[string]bool)
			for _, file := range files {
				e, err := settings.LoadEntry(file)
				is.NoErr(err)
				is.Equal(string(e.VM)+".ini", filepath.Base(file))
				entries[e.VM] = e
				domains[e.FailureDomain]++
				for _, a := range []string{e.CallersAddress, e.PeersAddress, e.OperatorsAddress} {
					is.True(strings.HasPrefix(a, "127.") && !addresses[a])
					addresses[a] = true
				}
			}
			document, err := os.ReadFile(filepath.Join(name, "policy.ini"))
			is.NoErr(err)
			p, err := policy.Parse(document)
			is.NoErr(err)
			for _, d := range p.FailureDomains {
				is.Equal(domains[d], 3)
			}
			for _, e := range entries {
				is.Equal(len(e.Peers), 8)
				for _, peer := range e.Peers {
					is.Equal(peer.Address, entries[peer.VM].PeersAddress)
					is.Equal(peer.FailureDomain, entries[peer.VM].FailureDomain)
				}
			}
		})
	}
}
