package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"go.uber.org/fx"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/settings"
	"celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/target"
)

// Guards against wiring that drops promises, inspects or reports: three VMs must
// agree on a map in which every target has confirmed its grant, and a new term
// must start after the coordinator stops.
func TestStatusOfDomain(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := platform.NewServer()
	go log.Run(ctx)
	platformServer := httptest.NewServer(log)
	defer platformServer.Close()

	document := "[deployment]\nname = d\nfailure_domains = d1\n[control]\ncandidates = 2\n[service s]\ndivision = key\nranges = 24\n[route get]\npath = /s/{k}\nservice = s\nkey = path:k\n"
	for i := range 3 {
		id := core.Target(fmt.Sprint("t", i))
		s := target.NewServer(target.Options{ID: id, Slots: 4, Checks: true, Incarnation: 7}, 0, nil)
		go s.Run(ctx)
		server := httptest.NewServer(s)
		defer server.Close()
		document += fmt.Sprintf("[target %s]\nservice = s\nfailure_domain = d1\naddress = %s\nslots = 4\n", id, server.Listener.Addr())
	}
	data, err := platformlog.Record{Kind: platformlog.KindPolicy, ID: "p", Document: document}.Encode()
	is.NoErr(err)
	_, err = platformlog.NewHTTPLog(platformServer.URL, http.DefaultClient).Append(ctx, data)
	is.NoErr(err)

	vms := startVMs(ctx, t, platformServer.URL, 3)
	awaitGrants(t, vms, 24, 0)
	for i, vm := range vms {
		if s, err := statusOf(vm.OperatorsAddress); err == nil && s.Holding {
			vm.stop()
			awaitGrants(t, append(vms[:i:i], vms[i+1:]...), 24, s.Terms["d1"].Number)
			return
		}
	}
	t.Fatal("no VM holds the term")
}

type runningVM struct {
	settings.Entry
	stop func()
}

func startVMs(ctx context.Context, t *testing.T, platformURL string, n int) []runningVM {
	vms := make([]runningVM, n)
	var peers []settings.Peer
	addresses := freeAddresses(t, 3*n)
	for i := range vms {
		vms[i].Entry = settings.Entry{
			VM: core.VM(fmt.Sprint("vm", i)), FailureDomain: "d1", Capacity: 1, Platform: platformURL,
			CallersAddress: addresses[3*i], PeersAddress: addresses[3*i+1], OperatorsAddress: addresses[3*i+2],
			TraceExporter: "none", StopTimeout: 2 * time.Second,
		}
		peers = append(peers, settings.Peer{VM: vms[i].VM, FailureDomain: "d1", Address: vms[i].PeersAddress})
	}
	for i := range vms {
		vms[i].Peers = peers
		a := fx.New(Module(vms[i].Entry, logr.Discard()))
		is.New(t).NoErr(a.Start(ctx))
		stopped := false
		vms[i].stop = func() {
			if !stopped {
				stopped = true
				_ = a.Stop(context.Background())
			}
		}
		t.Cleanup(vms[i].stop)
	}
	return vms
}

// freeAddresses opens all listeners before it closes them, so that no address
// is returned twice.
func freeAddresses(t *testing.T, n int) []string {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		defer l.Close()
		out[i] = l.Addr().String()
	}
	return out
}

func statusOf(address string) (Status, error) {
	var s Status
	res, err := http.Get("http://" + address + "/status")
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	return s, json.NewDecoder(res.Body).Decode(&s)
}

// awaitGrants waits until the targets have confirmed all ranges to their fronts
// and a later term than the given one is in force.
func awaitGrants(t *testing.T, vms []runningVM, ranges int, after uint64) {
	t.Helper()
	var last []Status
	for range 200 {
		last = nil
		held := 0
		newer := true
		for _, vm := range vms {
			s, err := statusOf(vm.OperatorsAddress)
			if err != nil {
				continue
			}
			last = append(last, s)
			newer = newer && s.Terms["d1"].Number > after
			for _, g := range s.Grants {
				if g.HeldMS > 0 {
					held += g.Ranges
				}
			}
		}
		if held == ranges && newer {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	data, _ := json.MarshalIndent(last, "", " ")
	t.Fatalf("status after 10 s: %s", data)
}
