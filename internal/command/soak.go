package command

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/soak"
)

type soakCommand struct {
	streams
	Seed    uint64  `long:"seed" description:"seed of the first schedule; default: a new one"`
	Seeds   int     `long:"seeds" default:"1" description:"schedules to play, with consecutive seeds"`
	Minutes float64 `long:"minutes" default:"1" description:"length of each schedule"`
	VMs     int     `long:"vms" default:"5" description:"gateway VMs, each a process"`
	Targets int     `long:"targets" default:"8" description:"targets"`
	Domains int     `long:"domains" default:"3" description:"failure domains"`
	Dir     string  `long:"dir" description:"folder for settings and logs; default: a new one among the temporary files"`
	Report  string  `long:"report" description:"file for the reports; default: standard output"`
	Slack   int     `long:"slack" default:"1" description:"factor for bounds in time, for busy machines"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Seeds < 1 || c.Minutes <= 0 || c.VMs < 1 || c.Targets < 2 || c.Domains < 1 || c.Slack < 1 {
		return usageError{errors.New("--seeds, --minutes, --vms, --domains and --slack must be positive, --targets at least 2")}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("soak: path of this program: %w", err)
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "celeryhook-soak-"); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
	}
	if c.Dir, err = filepath.Abs(c.Dir); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	if c.Seed == 0 {
		c.Seed = uint64(rand.Uint32())
	}
	out := c.out
	if c.Report != "" {
		f, err := os.Create(c.Report)
		if err != nil {
			return fmt.Errorf("soak: report: %w", err)
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	broken := 0
	for i := 0; i < c.Seeds && ctx.Err() == nil; i++ {
		seed := c.Seed + uint64(i)
		dir, err := soak.NewDir(c.Dir, seed)
		if err != nil {
			return err
		}
		r, err := soak.Run(ctx, soak.Options{
			Seed: seed, Length: time.Duration(c.Minutes * float64(time.Minute)), Program: program, Dir: dir, Slack: c.Slack,
			Size: soak.Size{VMs: c.VMs, Targets: c.Targets, Domains: c.Domains},
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		r.Write(out)
		if len(r.Violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("soak: %d of %d seeds broke a promise", broken, c.Seeds)
	}
	return nil
}
