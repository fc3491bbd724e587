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
	// Capacity is the weight of this VM relative to others of its failure domain.
	Capacity uint32
	// CallersAddress, PeersAddress and OperatorsAddress are listen addresses.
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
	// StopTimeout limits the total time of a graceful shutdown.
	StopTimeout time.Duration
	// StopSettle is how long a VM that shuts down still accepts connections after
	// it has stopped reporting ready.
	StopSettle time.Duration
}

// Callers holds the limits of connections from callers. Zero means no limit for a
// time, and the default otherwise.
type Callers struct {
	HeaderTimeout time.Duration
	ReadTimeout   time.Duration
	IdleTimeout   time.Duration
	HeaderBytes   int
	// Connections is the number of connections at a time.
	Connections int
	// HeadMemory is the memory in bytes for heads that aren't complete, and for large
	// ones until their requests have been answered.
	HeadMemory int64
}

// Defaults of the limits of connections.
const (
	DefaultConnections = 10_000
	DefaultHeadMemory  = 16 << 20
)

// Peer is another VM with a configured address.
type Peer struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	Address       string
}

const anyPort = "127.0.0.1:0"

// LoadEntry loads and validates the settings of an entry VM from a file's path or
// contents. The error is of type Issues, or wraps ErrSyntax.
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
			Connections:   int(r.number("callers", "connections", DefaultConnections, 16, 1_000_000)),
			HeadMemory:    int64(r.number("callers", "head_memory", DefaultHeadMemory, 1<<20, 16<<30)),
		},
		Platform:      r.baseURL("platform", "address"),
		TraceExporter: r.choice("trace", "exporter", "none", "none", "stdout", "otlp"),
		StopTimeout:   r.duration("stop", "timeout", 20*time.Second, 100*time.Millisecond, 10*time.Minute),
		StopSettle:    r.duration("stop", "settle", time.Second, 0, time.Minute),
	}
	if e.StopTimeout > 0 && e.StopSettle > e.StopTimeout/2 {
		r.addIssue("stop", "settle", "%s is more than half of [stop] timeout, %s", e.StopSettle, e.StopTimeout)
	}
	r.checkAdvertised("listen", "peers", e.PeersAddress)
	e.TraceEndpoint = r.traceEndpoint(e.TraceExporter)
	e.Peers = r.peers()
	if err := r.finish(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// checkAdvertised rejects an unspecified IP address for a listener whose address
// is advertised to other VMs.
func (r *reader) checkAdvertised(section, key, v string) {
	if a, err := netip.ParseAddrPort(v); err == nil && a.Addr().IsUnspecified() {
		r.addIssue(section, key, "%q is not the address of a single interface; it is advertised to other VMs", v)
	}
}

func (r *reader) traceEndpoint(exporter string) string {
	v, ok := r.value("trace", "endpoint")
	switch {
	case exporter == "otlp" && v == "":
		r.addIssue("trace", "endpoint", "is missing; it is required for [trace] exporter = otlp")
	case exporter != "otlp" && ok:
		r.addIssue("trace", "endpoint", "has no effect unless [trace] exporter is otlp")
	case ok:
		u, err := url.Parse(v)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" {
			r.addIssue("trace", "endpoint", "%q is not of the form http://IP:port/path", v)
		} else if issue := addressIssue(u.Host, false); issue != "" {
			r.addIssue("trace", "endpoint", "%s", issue)
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
	r.markKnown("peers", "")
	for _, k := range s.Keys() {
		v, ok := r.value("peers", k.Name())
		if !ok {
			continue
		}
		if issue := nameIssue(k.Name()); issue != "" {
			r.addIssue("peers", k.Name(), "%s", issue)
		}
		domain, address, ok := strings.Cut(v, "@")
		if !ok || domain == "" {
			r.addIssue("peers", k.Name(), "%q is not of the form failure-domain@IP:port", v)
			continue
		}
		if issue := addressIssue(address, false); issue != "" {
			r.addIssue("peers", k.Name(), "%s", issue)
		}
		if issue := nameIssue(domain); issue != "" {
			r.addIssue("peers", k.Name(), "failure domain %s", issue)
		}
		out = append(out, Peer{VM: core.VM(k.Name()), FailureDomain: core.FailureDomain(domain), Address: address})
	}
	return out
}
