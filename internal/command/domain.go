package command

import (
	"errors"

	"github.com/jessevdk/go-flags"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// addDomain adds the domain commands to the parser.
func addDomain(parser *flags.Parser, s streams) {
	c := addGroup(parser, "domain", "Take a failure domain out of service or back in")
	addSubcommand(c, "out", "Take a failure domain out", "Takes a failure domain out of service; others take its ranges once it has released them. The last one in service needs --confirm.",
		&domainCommand{streams: s, state: platformlog.DomainOut})
	addSubcommand(c, "in", "Bring a failure domain back", "Brings a failure domain back into service.",
		&domainCommand{streams: s, state: platformlog.DomainIn})
	addSubcommand(c, "lost", "Declare a failure domain lost", "Declares that a failure domain has ended, so that others take its ranges without its release. "+
		"If it still runs, keys may have two owners; needs --confirm.",
		&domainCommand{streams: s, state: platformlog.DomainLost})
}

type domainCommand struct {
	streams
	submitFlags
	Confirm bool `long:"confirm" description:"confirm a change that can interrupt service"`
	Args    struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
	state platformlog.DomainState
}

// Execute implements flags.Commander.
func (c *domainCommand) Execute([]string) error {
	if c.state == platformlog.DomainLost && !c.Confirm {
		return &exitError{ExitUsage, errors.New("domain lost needs --confirm: nothing may run in the failure domain any more")}
	}
	d := core.FailureDomain(c.Args.Name)
	record := platformlog.Record{Kind: platformlog.KindDomain, FailureDomain: d, State: c.state}
	return c.submit(c.streams, "domain "+c.Args.Name+" "+string(c.state), record, platformlog.DomainChange(d, c.state, c.Confirm))
}
