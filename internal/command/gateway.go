package command

import (
	"fmt"

	"go.uber.org/fx"

	"celeryhook.example/celeryhook/internal/node"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/platform"
)

type gatewayCommand struct {
	streams
	options       []fx.Option
	Settings      string `short:"s" long:"settings" description:"the platform's settings file (JSON); default: where the platform has put it"`
	Metrics       string `long:"metrics" description:"address where metrics are served as text under /metrics; default: nowhere"`
	TraceExporter string `long:"trace-exporter" default:"none" description:"where spans go: none, stdout or otlp"`
	TraceEndpoint string `long:"trace-endpoint" description:"address of the otlp collector"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	path := c.Settings
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			return usageError{fmt.Errorf("no --settings: %w", err)}
		}
	}
	p, s, err := platform.Open(path)
	if err != nil {
		return err
	}
	log, flush := observe.NewBoundedLogger(c.out)
	defer flush()
	defer observe.CaptureStandardLog(log)()
	o := node.Options{MetricsAddress: c.Metrics, TraceExporter: c.TraceExporter, TraceEndpoint: c.TraceEndpoint}
	return runApp(fx.New(node.Module(s, p, o, log), fx.Options(c.options...)), s.StopTimeout)
}
