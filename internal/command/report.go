package command

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"celeryhook.example/celeryhook/internal/report"
)

type reportCommand struct {
	streams
	Out string `short:"o" long:"out" required:"true" description:"HTML file to write"`
	Key string `long:"key" value-name:"SERVICE:KEY" description:"list the owners of a key, from logs"`

	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"a journal entry (.json), or logs of gateway VMs"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	var key *report.Key
	if c.Key != "" {
		service, number, ok := strings.Cut(c.Key, ":")
		n, err := strconv.ParseUint(number, 10, 16)
		if !ok || err != nil {
			return usageError{fmt.Errorf("--key %q is not SERVICE:KEY with a key from 0 to 65535", c.Key)}
		}
		key = &report.Key{Service: service, Number: uint16(n)}
	}
	page, err := c.read(key)
	if err != nil {
		return err
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := page.Write(out); err != nil {
		_ = out.Close()
		return err
	}
	if err := out.Close(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func (c *reportCommand) read(key *report.Key) (*report.Page, error) {
	var logs []io.Reader
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	if strings.HasSuffix(c.Args.Files[0], ".json") {
		return report.FromJournal(logs[0])
	}
	return report.FromLogs(key, logs...)
}
