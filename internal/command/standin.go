package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/target"
)

type platformCommand struct {
	streams
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`

	Down          bool          `long:"down" description:"start as a platform that is down"`
	Delay         time.Duration `long:"delay" description:"hold every answer back for this time"`
	LoseResponses int           `long:"lose-answers" description:"lose the answers of this many appends after their effect"`
	RetainRecords int           `long:"retain-records" description:"records that the log keeps; 0 for all"`
	RetainAge     time.Duration `long:"retain-age" description:"time for which the log keeps a record; 0 for ever"`
	VMLag         time.Duration `long:"vm-lag" description:"time for which a change of the list of VMs is invisible"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	s := platform.NewServer()
	faults := platform.Faults{
		Down:          c.Down,
		Delay:         c.Delay,
		LoseResponses: c.LoseResponses,
		RetainRecords: c.RetainRecords,
		RetainAge:     c.RetainAge,
		VMLag:         c.VMLag,
	}
	if err := s.SetFaults(context.Background(), faults); err != nil {
		return err
	}
	return c.serve(c.Listen, s, s.Run)
}

type targetCommand struct {
	streams
	Listen      string            `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	ID          string            `long:"id" required:"true" description:"target's id in the policy"`
	Slots       int               `long:"slots" default:"6" description:"requests that the target runs at a time"`
	ServiceTime time.Duration     `long:"service-time" default:"5ms" description:"how long a run takes"`
	NoChecks    bool              `long:"no-checks" description:"take orders and requests from anybody"`
	Faults      map[string]string `long:"fault" key-value-delimiter:"=" description:"fault as name=value, with the names of /standin/faults; may be repeated"`
	Seed        uint64            `long:"seed" default:"1" description:"seed of the faults' shares"`
	RunLog      string            `long:"run-log" description:"file that each run is appended to as JSON lines"`
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	faults, err := target.Faults{}.With(c.Faults)
	if err != nil {
		return err
	}
	var log io.Writer
	if c.RunLog != "" {
		f, err := os.OpenFile(c.RunLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("run log: %w", err)
		}
		defer f.Close()
		log = f
	}
	s := target.NewServer(target.Options{
		ID:          core.Target(c.ID),
		Slots:       c.Slots,
		Checks:      !c.NoChecks,
		Incarnation: uint64(time.Now().UnixNano()),
		Faults:      faults,
		Seed:        c.Seed,
	}, c.ServiceTime, log)
	return c.serve(c.Listen, s, s.Run)
}

// serve runs a stand-in until the process gets SIGTERM or SIGINT.
func (s streams) serve(address string, h http.Handler, run func(context.Context)) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	fmt.Fprintf(s.out, "listening on %s\n", l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go run(ctx)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", l.Addr(), err)
	}
	return nil
}
