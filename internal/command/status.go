package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

type statusCommand struct {
	streams
	VMs  []string `long:"vm" required:"true" value-name:"IP:PORT" description:"operators' listener of a VM; may be repeated"`
	JSON bool     `long:"json" description:"write JSON instead of text"`
}

// vmStatus is the readiness and the status of a VM.
type vmStatus struct {
	Address string `json:"address"`
	Ready   bool   `json:"ready"`
	// Readiness is the VM's reason for not being ready.
	Readiness string `json:"readiness,omitempty"`
	Status    any    `json:"status,omitempty"`
	Error     string `json:"error,omitempty"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	if err := checkVMs(c.VMs); err != nil {
		return err
	}
	all := make([]vmStatus, len(c.VMs))
	failed := 0
	for i, address := range c.VMs {
		all[i] = fetchStatus(context.Background(), address)
		if all[i].Error != "" || !all[i].Ready {
			failed++
		}
	}
	if c.JSON {
		if err := writeJSON(c.out, all); err != nil {
			return err
		}
	} else {
		for _, s := range all {
			s.write(c.out)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d VMs are not ready or gave no status", failed, len(all))
	}
	return nil
}

// fetchStatus requests the readiness and the status of a VM. A VM that doesn't
// have /status still reports its readiness.
func fetchStatus(ctx context.Context, address string) vmStatus {
	s := vmStatus{Address: address}
	code, body, err := getFromVM(ctx, address, "/readyz", nil)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	s.Ready = code == http.StatusOK
	if !s.Ready {
		s.Readiness = strings.TrimSpace(string(body))
	}
	code, body, err = getFromVM(ctx, address, "/status", nil)
	switch {
	case err != nil:
		s.Error = err.Error()
	case code == http.StatusNotFound:
		s.Status = map[string]any{"note": "this VM has no /status"}
	case code != http.StatusOK:
		s.Error = fmt.Sprintf("/status: status %d", code)
	default:
		if s.Status, err = decode(body); err != nil {
			s.Error = fmt.Sprintf("/status: %v", err)
		}
	}
	return s
}

func (s vmStatus) write(w io.Writer) {
	state := "ready"
	switch {
	case s.Error != "":
		state = "error: " + s.Error
	case !s.Ready:
		state = "not ready: " + s.Readiness
	}
	fmt.Fprintf(w, "%s  %s\n", s.Address, state)
	writeValue(w, "  ", s.Status)
}

// writeValue writes JSON of any shape as indented lines.
func writeValue(w io.Writer, indent string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			writeEntry(w, indent, key+":", v[key])
		}
	case []any:
		for _, item := range v {
			writeEntry(w, indent, "-", item)
		}
	case nil:
	default:
		fmt.Fprintf(w, "%s%v\n", indent, v)
	}
}

func writeEntry(w io.Writer, indent, label string, v any) {
	switch v.(type) {
	case map[string]any, []any:
		fmt.Fprintf(w, "%s%s\n", indent, label)
		writeValue(w, indent+"  ", v)
	default:
		fmt.Fprintf(w, "%s%s %v\n", indent, label, v)
	}
}
