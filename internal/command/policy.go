package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/transport"
)

// platformFlags are the options of commands that use the platform.
type platformFlags struct {
	Platform string        `long:"platform" env:"CELERYHOOK_PLATFORM" description:"base URL of the platform, for example http://127.0.0.1:9000"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"time after which the command gives up"`
}

func (f platformFlags) open() (*platformlog.HTTPLog, error) {
	if f.Platform == "" {
		return nil, &exitError{ExitUsage, errors.New("--platform is missing")}
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	return platformlog.NewHTTPLog(f.Platform, &http.Client{Transport: transport.ValidateStatus(t)}), nil
}

// readHistory reads the log to its end and calls visit for each event.
func (f platformFlags) readHistory(visit func(platformlog.Event)) (platformlog.State, error) {
	log, err := f.open()
	if err != nil {
		return platformlog.State{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	return platformlog.ReadHistory(ctx, log, visit)
}

// errNoPolicy means that the log contains no policy in force.
var errNoPolicy = errors.New("no policy is in force")

// inForce returns the policy in force and its version.
func (f platformFlags) inForce() (*policy.Policy, uint64, error) {
	state, err := f.readHistory(func(platformlog.Event) {})
	if err != nil {
		return nil, 0, err
	}
	if state.PolicyVersion == 0 {
		return nil, 0, errNoPolicy
	}
	p, err := policy.Parse([]byte(state.Document))
	return p, state.PolicyVersion, err
}

func readPolicy(path string) ([]byte, *policy.Policy, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read policy: %w", err)
	}
	p, err := policy.Parse(document)
	if err != nil {
		return nil, nil, documentError(path, err)
	}
	return document, p, nil
}

// documentError returns an error that lists each issue of a document on a
// separate line.
func documentError(path string, err error) error {
	var issues policy.Issues
	if !errors.As(err, &issues) {
		return fmt.Errorf("%s: %w", path, err)
	}
	text := fmt.Sprintf("%s has %d faults:", path, len(issues))
	for _, issue := range issues {
		text += "\n  " + issue.String()
	}
	return &exitError{ExitInvalid, errors.New(text)}
}

// addPolicy adds the policy commands to the parser.
func addPolicy(parser *flags.Parser, s streams) {
	c := addGroup(parser, "policy", "Check, compare, submit and show policies")
	addSubcommand(c, "check", "Validate a document", "Validates a document and names every fault by section, key and reason. Needs no platform.", &policyCheckCommand{streams: s})
	addSubcommand(c, "diff", "Compare documents", "Prints the differences by section and key: from the version in force to a document, or from one document to another.", &policyDiffCommand{streams: s})
	addSubcommand(c, "submit", "Put a document in force", "Validates a document, appends it to the log and reads the log back until its fate is known.", &policySubmitCommand{streams: s})
	addSubcommand(c, "show", "Print the version in force", "Prints the version in force as a canonical document.", &policyShowCommand{streams: s})
	addSubcommand(c, "history", "List policy and domain records", "Lists the policy and domain records that the log still holds, with the fate of each.", &policyHistoryCommand{streams: s})
}

func addGroup(parser *flags.Parser, name, short string) *flags.Command {
	c, err := parser.AddCommand(name, short, short+". "+exitCodesHelp, &struct{}{})
	if err != nil {
		panic(fmt.Sprintf("command: %s: %v", name, err))
	}
	return c
}

func addSubcommand(c *flags.Command, name, short, long string, data any) {
	if _, err := c.AddCommand(name, short, long+" "+exitCodesHelp, data); err != nil {
		panic(fmt.Sprintf("command: %s %s: %v", c.Name, name, err))
	}
}
