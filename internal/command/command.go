package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
)

const help = `celeryhook routes requests to servers that own their keys exclusively.

Start with: celeryhook demo
Each command explains its options: celeryhook COMMAND --help

Exit codes: 0 done; 1 the command failed, with the reason on stderr; 2 the
command line is wrong. Commands that change what is in the log have further
codes, which their --help lists.`

// streams are the output streams of a command.
type streams struct{ out, err io.Writer }

// Main runs the command line and returns the exit code. Options are added to
// the fx applications of the VM commands; tests use them to replace parts of a
// VM.
func Main(args []string, stdout, stderr io.Writer, options ...fx.Option) int {
	s := streams{out: stdout, err: stderr}
	parser := flags.NewNamedParser("celeryhook", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for servers that own their keys exclusively"
	parser.LongDescription = help
	addCommand(parser, "entry", "Run an entry VM", "Runs an entry VM until it gets SIGTERM or SIGINT.", &entryCommand{streams: s, options: options})
	addCommand(parser, "gateway", "Run a gateway VM on the platform", "Runs a gateway VM with the platform's settings file until it gets SIGTERM or SIGINT. It learns everything else from the platform's store.", &gatewayCommand{streams: s, options: options})
	addCommand(parser, "console", "Run the operators' console", "Serves forms for the policy at the address in its settings until it gets SIGTERM or SIGINT.", &consoleCommand{streams: s})
	addCommand(parser, "status", "Show the state of VMs", "Asks the operators' listener of each VM for /readyz and /status. Exit code 1 if a VM isn't ready or gives no status.", &statusCommand{streams: s})
	addCommand(parser, "explain", "Show where a key goes", "Shows hash, range, home failure domain, target and front of a key, and why. Exit code 1 if a request for the key would be refused now.", &explainCommand{streams: s})
	addCommand(parser, "demo", "Run a small deployment", "Runs three failure domains with entry VMs, targets and the platform's stand-in in one process, and says how to use them.", &demoCommand{streams: s})
	addCommand(parser, "report", "Draw a journal entry or logs", "Writes a page with plots: the parts and prices of the days of a journal entry, or latency, outcomes and the owners of a key over time from logs of gateway VMs.", &reportCommand{streams: s})
	addCommand(parser, "version", "Show the version", "Shows release, revision and toolchain.", &versionCommand{streams: s})
	addCommand(parser, "standin-platform", "Run the platform's stand-in", "Runs a stand-in of the platform for trials.", &platformCommand{streams: s})
	addCommand(parser, "standin-target", "Run a target's stand-in", "Runs a stand-in of a target for trials.", &targetCommand{streams: s})
	addPolicy(parser, s)
	addDomain(parser, s)
	addConfig(parser, s)
	_, err := parser.ParseArgs(args)
	var flagError *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return ExitOK
	case errors.As(err, &flagError) || isUsage(err):
		fmt.Fprintln(stderr, "celeryhook:", err)
		return ExitUsage
	}
	fmt.Fprintln(stderr, "celeryhook:", err)
	return exitCodeOf(err)
}

func addCommand(p *flags.Parser, name, short, long string, data any) {
	if _, err := p.AddCommand(name, short, long, data); err != nil {
		panic(fmt.Sprintf("command: %s: %v", name, err))
	}
}
