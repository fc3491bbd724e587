package observe

import (
	"context"
	"fmt"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// NewTracer returns a tracer with the given exporter ("none", "stdout" or
// "otlp"), and a function that flushes the spans and shuts the exporter down.
func NewTracer(ctx context.Context, exporter, endpoint, vm string) (trace.Tracer, func(context.Context) error, error) {
	var exp sdktrace.SpanExporter
	var err error
	switch exporter {
	case "none":
		// The no-op tracer passes the caller's trace context on unchanged.
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

type hopTracer struct {
	trace.Tracer
	metrics *Metrics
}

// CountHops returns a tracer that also counts the spans that it starts. Each
// hop of a request has one span.
func CountHops(t trace.Tracer, m *Metrics) trace.Tracer { return hopTracer{Tracer: t, metrics: m} }

// Start implements trace.Tracer.
func (t hopTracer) Start(ctx context.Context, name string, options ...trace.SpanStartOption) (context.Context, trace.Span) {
	t.metrics.Count("hops", name)
	return t.Tracer.Start(ctx, name, options...)
}

type traceTransport struct{ base http.RoundTripper }

// TraceTransport returns a transport that adds the W3C trace context of the
// request's span to the request headers.
func TraceTransport(base http.RoundTripper) http.RoundTripper { return traceTransport{base: base} }

// RoundTrip implements http.RoundTripper.
func (t traceTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !trace.SpanContextFromContext(r.Context()).IsValid() {
		return t.base.RoundTrip(r)
	}
	// A RoundTripper must not modify the request.
	r = r.Clone(r.Context())
	propagation.TraceContext{}.Inject(r.Context(), propagation.HeaderCarrier(r.Header))
	return t.base.RoundTrip(r)
}
