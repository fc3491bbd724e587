package command

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"celeryhook.example/celeryhook/internal/configcheck"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/platform"
)

// ExitUnreadable means that a file can't be read or isn't a configuration.
const ExitUnreadable = 2

const configCheckHelp = "Checks a configuration record of the platform (JSON): errors for which VMs reject it as a whole, entries " +
	"without effect, and limits that contradict each other. With --against also prints the differences from another version, " +
	"which are no findings, unless its version isn't lower. Exit codes: 0 no findings, 1 findings, 2 a file isn't readable or the " +
	"command line is wrong."

type configCheckCommand struct {
	streams
	Against string `long:"against" value-name:"FILE" description:"configuration to compare with, for example the one in force"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *configCheckCommand) Execute([]string) error {
	config, errs, err := readConfig(c.Args.File)
	if err != nil {
		return err
	}
	findings := 0
	report := func(kind string, text any) {
		findings++
		fmt.Fprintf(c.out, "%s: %v\n", kind, text)
	}
	for _, err := range errs {
		report("error", err)
	}
	// Entries with errors are missing, on which others may depend.
	if len(errs) == 0 {
		for _, f := range configcheck.Check(config) {
			report("finding", f)
		}
	}
	if c.Against != "" && len(errs) == 0 {
		other, errs, err := readConfig(c.Against)
		switch {
		case err != nil:
			return err
		case len(errs) > 0:
			return &exitError{ExitUnreadable, fmt.Errorf("%s is invalid: %w", c.Against, errs[0])}
		}
		if config.Version <= other.Version {
			report("finding", fmt.Sprintf("version %d never replaces version %d", config.Version, other.Version))
		}
		for _, d := range configcheck.Diff(other, config) {
			fmt.Fprintln(c.out, "difference:", d)
		}
	}
	if findings > 0 {
		return &exitError{ExitFailed, fmt.Errorf("findings in %s: %d", c.Args.File, findings)}
	}
	fmt.Fprintf(c.out, "%s has no findings: version %d, %d routes, %d services\n", c.Args.File, config.Version, len(config.Routes), len(config.Services))
	return nil
}

// readConfig returns the configuration in a file and the errors in it.
func readConfig(path string) (*routing.Config, []error, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &exitError{ExitUnreadable, fmt.Errorf("configuration: %w", err)}
	}
	c, errs, err := platform.ParseConfig(b)
	if err != nil {
		return nil, nil, &exitError{ExitUnreadable, fmt.Errorf("%s: %w", path, err)}
	}
	return c, errs, nil
}

// addConfig adds the commands for the platform's configuration to the parser.
func addConfig(parser *flags.Parser, s streams) {
	const short = "Check the platform's configuration"
	c, err := parser.AddCommand("config", short, short+".", &struct{}{})
	if err == nil {
		_, err = c.AddCommand("check", "Check a configuration and compare it with another", configCheckHelp, &configCheckCommand{streams: s})
	}
	if err != nil {
		panic(fmt.Sprintf("command: config: %v", err))
	}
}
