package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

type explainCommand struct {
	streams
	VM      string `long:"vm" required:"true" value-name:"IP:PORT" description:"operators' listener of any VM"`
	Service string `short:"s" long:"service" required:"true" description:"service of the policy"`
	JSON    bool   `long:"json" description:"write JSON instead of text"`
	Args    struct {
		Key string `positional-arg-name:"KEY" required:"true" description:"key, or request id for a service that isn't divided by key"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if err := checkVMs([]string{c.VM}); err != nil {
		return err
	}
	code, body, err := getFromVM(context.Background(), c.VM, "/explain", map[string][]string{"key": {c.Args.Key}, "service": {c.Service}})
	if err != nil {
		return err
	}
	v, err := decode(body)
	if err != nil {
		return fmt.Errorf("%s: %w", c.VM, err)
	}
	explanation, ok := v.(map[string]any)
	if !ok || code != http.StatusOK {
		return fmt.Errorf("%s: /explain: status %d: %s", c.VM, code, strings.TrimSpace(string(body)))
	}
	if c.JSON {
		if err := writeJSON(c.out, explanation); err != nil {
			return err
		}
	} else {
		writeExplanation(c.out, explanation)
	}
	if outcome, ok := explanation["outcome"].(string); ok && outcome != "" {
		return fmt.Errorf("a request for this key would be answered %s now", outcome)
	}
	return nil
}

// explainLines are the lines of an explanation, in the order of the steps of a
// lookup.
var explainLines = []struct{ key, label string }{
	{"key", "key"},
	{"hash", "hash"},
	{"range", "range"},
	{"failure_domain", "home failure domain"},
	{"target", "target"},
	{"front", "front"},
	{"front_address", "front's address"},
	{"map_version", "map version"},
	{"why", "why"},
}

func writeExplanation(w io.Writer, explanation map[string]any) {
	for _, l := range explainLines {
		if v, ok := explanation[l.key]; ok {
			fmt.Fprintf(w, "%-20s %v\n", l.label, v)
		}
	}
}
