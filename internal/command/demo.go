package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"celeryhook.example/celeryhook/internal/demo"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/settings"
)

type demoCommand struct {
	streams
	Deployment string `short:"d" long:"deployment" default:"bratislava" choice:"bratislava" choice:"great-lakes" description:"deployment to run"`
	Console    string `long:"console" default:"127.0.0.1:0" value-name:"IP:PORT" description:"address of the console; the kernel picks a port for 0"`
	VMs        int    `long:"vms" default:"3" description:"entry VMs in each failure domain, 1 to 4"`
	Verbose    bool   `short:"v" long:"verbose" description:"write the log of all VMs to stderr"`
	Duration   string `long:"for" value-name:"DURATION" description:"stop by itself after this time, such as 30s"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	if c.VMs < 1 || c.VMs > 4 {
		return usageError{fmt.Errorf("--vms %d is not between 1 and 4", c.VMs)}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if c.Duration != "" {
		d, err := time.ParseDuration(c.Duration)
		if err != nil {
			return usageError{fmt.Errorf("--for: %w", err)}
		}
		var cancelTimeout context.CancelFunc
		ctx, cancelTimeout = context.WithTimeout(ctx, d)
		defer cancelTimeout()
	}
	log := logr.Discard()
	if c.Verbose {
		var flush func()
		log, flush = observe.NewLogger(c.err)
		defer flush()
	}
	return c.run(ctx, log)
}

func (c *demoCommand) run(ctx context.Context, log logr.Logger) error {
	o := demo.DefaultOptions(log)
	o.VMsPerDomain = c.VMs
	fmt.Fprintln(c.out, "Starting.")
	d, err := demo.Start(ctx, demo.Plans[c.Deployment], o)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	address, stopConsole, err := startConsole(settings.Console{Address: c.Console, Platform: d.Platform, Author: "demo"})
	if err != nil {
		return errors.Join(err, d.Stop(context.Background()))
	}
	writeInstructions(c.out, d, address)
	<-ctx.Done()
	fmt.Fprintln(c.out, "stopping")
	stopCtx, cancel := context.WithTimeout(context.Background(), o.StopTimeout+5*time.Second)
	defer cancel()
	return errors.Join(stopConsole(stopCtx), d.Stop(stopCtx))
}

// writeInstructions describes the running deployment and prints commands to
// try.
func writeInstructions(w io.Writer, d *demo.Deployment, console string) {
	fmt.Fprintf(w, "Deployment %s runs: %d failure domains, %d entry VMs, %d targets.\n\n",
		d.Plan.Name, len(d.Plan.FailureDomains), len(d.VMs), d.Targets)
	var operators []string
	for _, v := range d.VMs {
		fmt.Fprintf(w, "  %-20s callers http://%s  operators http://%s\n", v.VM, v.CallersAddress, v.OperatorsAddress)
		operators = append(operators, "--vm "+v.OperatorsAddress)
	}
	first := d.VMs[0]
	fmt.Fprintf(w, `
Send a booking; repeat it with the same key, and it still runs once:

  curl -i -X POST -H 'Idempotency-Key: my-first-booking' -d '%s' http://%s%s

Look something up:

  curl -i http://%s%s

The console is at http://%s/ and the platform's stand-in at %s

  celeryhook status %s
  celeryhook explain --vm %s --service %s %s
  curl http://%s/metrics

Ctrl-C stops the demo.
`, d.Plan.BookingBody, first.CallersAddress, d.Plan.BookingPath, first.CallersAddress, d.Plan.LookupPath, console, d.Platform,
		strings.Join(operators, " "), first.OperatorsAddress, d.Plan.LookupService, d.Plan.LookupKey, first.OperatorsAddress)
}
