package command

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"celeryhook.example/celeryhook/internal/app"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/settings"
)

const startTimeout = 15 * time.Second

type entryCommand struct {
	streams
	options  []fx.Option
	Settings string `short:"s" long:"settings" required:"true" description:"settings file (INI)"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return err
	}
	log, flush := observe.NewLogger(c.err)
	defer flush()
	return runApp(fx.New(app.Module(s, log), fx.Options(c.options...)), s.StopTimeout)
}

// runApp runs an fx application until the process gets SIGTERM or SIGINT.
func runApp(a *fx.App, stopTimeout time.Duration) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := a.Start(startCtx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if err := a.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}
