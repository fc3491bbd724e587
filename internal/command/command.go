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
	// ExitFailed: the command failed.
	ExitFailed = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
)

// streams are where a command writes to.
type streams struct{ out, err io.Writer }

// Main runs the command line and returns the exit code. Tests pass options
// that decorate parts of an entry VM.
func Main(args []string, stdout, stderr io.Writer, options ...fx.Option) int {
	s := streams{out: stdout, err: stderr}
	parser := flags.NewNamedParser("celeryhook", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for servers that own their keys exclusively"
	add(parser, "entry", "Run an entry VM", "Runs an entry VM until it gets SIGTERM or SIGINT.", &entryCommand{streams: s, options: options})
	add(parser, "standin-platform", "Run the platform's stand-in", "Runs a stand-in of the platform for trials.", &platformCommand{streams: s})
	add(parser, "standin-target", "Run a target's stand-in", "Runs a stand-in of a target for trials.", &targetCommand{streams: s})
	addPolicy(parser, s)
	addDomain(parser, s)
	_, err := parser.ParseArgs(args)
	var flagError *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return ExitOK
	case errors.As(err, &flagError):
		fmt.Fprintln(stderr, "celeryhook:", err)
		return ExitUsage
	}
	fmt.Fprintln(stderr, "celeryhook:", err)
	return exitCodeOf(err)
}

func add(p *flags.Parser, name, short, long string, data any) {
	if _, err := p.AddCommand(name, short, long, data); err != nil {
		panic(fmt.Sprintf("command: %s: %v", name, err))
	}
}
