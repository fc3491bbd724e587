package observe

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"
)

// NewTracer returns a tracer that exports as the settings say, and a function
// that flushes it.
func NewTracer(ctx context.Context, exporter, endpoint, vm string) (trace.Tracer, func(context.Context) error, error) {
	var exp sdktrace.SpanExporter
	var err error
	switch exporter {
	case "none":
		return noop.NewTracerProvider().Tracer("celeryhook"), func(context.Context) error { return nil }, nil
	case "stdout":
		exp, err = stdouttrace.New()
	case "otlp":
		exp, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	default:
		return nil, nil, fmt.Errorf("observe: unknown trace exporter %q", exporter)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("observe: trace exporter %q: %w", exporter, err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "celeryhook"),
			attribute.String("celeryhook.vm", vm),
		)),
	)
	return provider.Tracer("celeryhook"), provider.Shutdown, nil
}
