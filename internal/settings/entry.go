package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Entry holds the settings of an entry VM.
type Entry struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	// Capacity weighs this VM against others of its failure domain.
	Capacity uint32
	// CallersAddress, PeersAddress and OperatorsAddress are the listeners.
	CallersAddress   string
	PeersAddress     string
	OperatorsAddress string
	Callers          Callers
	// Platform is the base URL of the platform.
	Platform string
	Peers    []Peer
	// TraceExporter is none, stdout or otlp.
	TraceExporter string
	TraceEndpoint string
	// StopTimeout bounds the whole of a graceful stop.
	StopTimeout time.Duration
	// StopSettle is how long a stopping VM that is no longer ready still
	// accepts connections.
	StopSettle time.Duration
}

// Callers bounds what a caller's connection may take. Zero means no bound.
type Callers struct {
	HeaderTimeout time.Duration
	ReadTimeout   time.Duration
	IdleTimeout   time.Duration
	HeaderBytes   int
}

// Peer is another VM whose address is known from the start.
type Peer struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	Address       string
}

const anyPort = "127.0.0.1:0"

// LoadEntry reads and checks the settings of an entry VM from a file's path
// or contents. The error is Faults, or wraps ErrSyntax.
func LoadEntry(source any) (Entry, error) {
	r, err := newReader(source)
	if err != nil {
		return Entry{}, err
	}
	e := Entry{
		VM:               core.VM(r.name("vm", "id")),
		FailureDomain:    core.FailureDomain(r.name("vm", "failure_domain")),
		Capacity:         uint32(r.number("vm", "capacity", 1, 1, 1000)),
		CallersAddress:   r.listener("listen", "callers", anyPort),
		PeersAddress:     r.listener("listen", "peers", anyPort),
		OperatorsAddress: r.listener("listen", "operators", anyPort),
		Callers: Callers{
			HeaderTimeout: r.duration("callers", "header_timeout", 5*time.Second, 10*time.Millisecond, time.Minute),
			ReadTimeout:   r.duration("callers", "read_timeout", 30*time.Second, 10*time.Millisecond, 10*time.Minute),
			IdleTimeout:   r.duration("callers", "idle_timeout", time.Minute, time.Second, time.Hour),
			HeaderBytes:   int(r.number("callers", "header_bytes", 64<<10, 4<<10, 1<<20)),
		},
		Platform:      r.base("platform", "address"),
		TraceExporter: r.choice("trace", "exporter", "none", "none", "stdout", "otlp"),
		StopTimeout:   r.duration("stop", "timeout", 20*time.Second, 100*time.Millisecond, 10*time.Minute),
		StopSettle:    r.duration("stop", "settle", time.Second, 0, time.Minute),
	}
	if e.StopTimeout > 0 && e.StopSettle > e.StopTimeout/2 {
		r.fault("stop", "settle", "%s is more than half of [stop] timeout, %s", e.StopSettle, e.StopTimeout)
	}
	r.advertised("listen", "peers", e.PeersAddress)
	e.TraceEndpoint = r.endpoint(e.TraceExporter)
	e.Peers = r.peers()
	if err := r.finish(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// advertised rejects an address that other VMs can't use: this listener's
// address is what the VM tells them.
func (r *reader) advertised(section, key, v string) {
	if a, err := netip.ParseAddrPort(v); err == nil && a.Addr().IsUnspecified() {
		r.fault(section, key, "%q isn't the address of one interface; other VMs are told this address", v)
	}
}

func (r *reader) endpoint(exporter string) string {
	v, ok := r.value("trace", "endpoint")
	switch {
	case exporter == "otlp" && v == "":
		r.fault("trace", "endpoint", "is missing; [trace] exporter = otlp needs it")
	case exporter != "otlp" && ok:
		r.fault("trace", "endpoint", "has no effect unless [trace] exporter is otlp")
	case ok:
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" {
			r.fault("trace", "endpoint", "%q has not the form http://IP:port/path", v)
		} else if fault := addressFault(u.Host, false); fault != "" {
			r.fault("trace", "endpoint", "%s", fault)
		}
	}
	return v
}

func (r *reader) peers() []Peer {
	s, err := r.file.GetSection("peers")
	if err != nil {
		return nil
	}
	var out []Peer
	r.know("peers", "")
	for _, k := range s.Keys() {
		v, ok := r.value("peers", k.Name())
		if !ok {
			continue
		}
		if fault := nameFault(k.Name()); fault != "" {
			r.fault("peers", k.Name(), "%s", fault)
		}
		domain, address, ok := strings.Cut(v, "@")
		if !ok || domain == "" {
			r.fault("peers", k.Name(), "%q has not the form failure-domain@IP:port", v)
			continue
		}
		if fault := addressFault(address, false); fault != "" {
			r.fault("peers", k.Name(), "%s", fault)
		}
		if fault := nameFault(domain); fault != "" {
			r.fault("peers", k.Name(), "failure domain %s", fault)
		}
		out = append(out, Peer{VM: core.VM(k.Name()), FailureDomain: core.FailureDomain(domain), Address: address})
	}
	return out
}
