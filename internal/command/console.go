package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/internal/console"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/settings"
	"celeryhook.example/celeryhook/internal/transport"
)

type consoleCommand struct {
	streams
	Settings string `short:"s" long:"settings" required:"true" value-name:"FILE" description:"settings file (INI), see docs/SETTINGS.md"`
}

// Execute implements flags.Commander.
func (c *consoleCommand) Execute([]string) error {
	s, err := settings.LoadConsole(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	address, stop, err := startConsole(s)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "console at http://%s/\n", address)
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancelStop()
	return stop(stopCtx)
}

// startConsole serves the console in the background until stop is called.
func startConsole(s settings.Console) (address string, stop func(context.Context) error, err error) {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return "", nil, fmt.Errorf("console: listen on %s: %w", s.Address, err)
	}
	t := transport.ValidateStatus(http.DefaultTransport.(*http.Transport).Clone())
	log := platformlog.NewHTTPLog(s.Platform, &http.Client{Transport: t, Timeout: 10 * time.Second})
	server := &http.Server{
		Handler:           console.New(console.NewLogPolicyStore(log), s.Author),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		IdleTimeout:       time.Minute,
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), server.Shutdown, nil
}
