package settings

import (
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"

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
	// Platform is the base URL of the platform.
	Platform string
	Peers    []Peer
	// TraceExporter is none, stdout or otlp.
	TraceExporter string
	TraceEndpoint string
	StopTimeout   time.Duration
}

// Peer is another VM whose address is known from the start.
type Peer struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	Address       string
}

// LoadEntry reads and checks the settings of an entry VM.
func LoadEntry(source any) (Entry, error) {
	file, err := ini.Load(source)
	if err != nil {
		return Entry{}, fmt.Errorf("settings: %w", err)
	}
	e := Entry{
		VM:               core.VM(file.Section("vm").Key("id").String()),
		FailureDomain:    core.FailureDomain(file.Section("vm").Key("failure_domain").String()),
		Capacity:         uint32(file.Section("vm").Key("capacity").MustUint(1)),
		CallersAddress:   file.Section("listen").Key("callers").MustString("127.0.0.1:0"),
		PeersAddress:     file.Section("listen").Key("peers").MustString("127.0.0.1:0"),
		OperatorsAddress: file.Section("listen").Key("operators").MustString("127.0.0.1:0"),
		Platform:         file.Section("platform").Key("address").String(),
		TraceExporter:    file.Section("trace").Key("exporter").MustString("none"),
		TraceEndpoint:    file.Section("trace").Key("endpoint").String(),
		StopTimeout:      file.Section("stop").Key("timeout").MustDuration(20 * time.Second),
	}
	for _, k := range file.Section("peers").Keys() {
		domain, address, ok := strings.Cut(k.String(), "@")
		if !ok {
			return Entry{}, fmt.Errorf("settings: [peers] %s: %q has not the form failure-domain@address", k.Name(), k.String())
		}
		e.Peers = append(e.Peers, Peer{VM: core.VM(k.Name()), FailureDomain: core.FailureDomain(domain), Address: address})
	}
	if e.VM == "" || e.FailureDomain == "" || e.Platform == "" {
		return Entry{}, fmt.Errorf("settings: [vm] id, [vm] failure_domain and [platform] address are required")
	}
	return e, nil
}
