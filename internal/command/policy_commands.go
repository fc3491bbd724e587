package command

import (
	"context"
	"fmt"
	"os/user"

	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

type policyCheckCommand struct {
	streams
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *policyCheckCommand) Execute([]string) error {
	_, p, err := readPolicy(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s is valid: %d services, %d targets, %d routes, %d branches\n",
		c.Args.File, len(p.Services), len(p.Targets), len(p.Routes), len(p.Branches))
	return nil
}

type policyDiffCommand struct {
	streams
	platformFlags
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"document, or the older one of two"`
		New  string `positional-arg-name:"NEW" description:"newer document"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *policyDiffCommand) Execute([]string) error {
	_, from, err := readPolicy(c.Args.File)
	if err != nil {
		return err
	}
	to := from
	if c.Args.New != "" {
		_, to, err = readPolicy(c.Args.New)
	} else {
		from, _, err = c.inForce()
	}
	if err != nil {
		return err
	}
	changes := policy.Diff(from, to)
	for _, change := range changes {
		fmt.Fprintln(c.out, change)
	}
	if len(changes) == 0 {
		fmt.Fprintln(c.out, "no differences")
	}
	return nil
}

// submitFlags are the options of commands that append a record.
type submitFlags struct {
	platformFlags
	Base   *uint64 `long:"base" description:"version that the change is based on; default: the version in force"`
	ID     string  `long:"id" description:"id of the record; give that of a submission whose fate is unknown"`
	Author string  `long:"author" description:"name of the operator; default: the user's"`
}

// submit appends a record to the log and reports the outcome.
func (f submitFlags) submit(s streams, what string, r platformlog.Record, check func(platformlog.State) error) error {
	log, err := f.open()
	if err != nil {
		return err
	}
	r.ID, r.Author = f.ID, f.Author
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if r.Author == "" {
		if u, err := user.Current(); err == nil {
			r.Author = u.Username
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	return s.reportOutcome(what, r.ID, platformlog.Submit(ctx, log, platformlog.NewSubmission(r, f.Base, check)))
}

type policySubmitCommand struct {
	streams
	submitFlags
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *policySubmitCommand) Execute([]string) error {
	document, _, err := readPolicy(c.Args.File)
	if err != nil {
		return err
	}
	return c.submit(c.streams, "policy", platformlog.Record{Kind: platformlog.KindPolicy, Document: string(document)}, nil)
}

type policyShowCommand struct {
	streams
	platformFlags
	Defaults bool `long:"defaults" description:"show values that are defaults, too"`
}

// Execute implements flags.Commander.
func (c *policyShowCommand) Execute([]string) error {
	p, version, err := c.inForce()
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "# version %d\n%s", version, p.Encode(c.Defaults))
	return nil
}

type policyHistoryCommand struct {
	streams
	platformFlags
}

// Execute implements flags.Commander.
func (c *policyHistoryCommand) Execute([]string) error {
	state, err := c.readHistory(func(e platformlog.Event) {
		outcome := "accepted"
		if e.Err != nil {
			outcome = "skipped: " + platformlog.Reason(e.Err)
		}
		switch e.Record.Kind {
		case platformlog.KindPolicy:
			fmt.Fprintf(c.out, "%d policy by %s, base %d, %s\n", e.Offset, e.Record.Author, e.Record.Base, outcome)
		case platformlog.KindDomain:
			fmt.Fprintf(c.out, "%d domain %s %s by %s, base %d, %s\n", e.Offset, e.Record.FailureDomain, e.Record.State, e.Record.Author, e.Record.Base, outcome)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "in force: policy %d, delegation %d\n", state.PolicyVersion, state.Delegation.Number)
	return nil
}
