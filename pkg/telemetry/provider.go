package telemetry

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"limpetspan/pkg/settings"
)

// serviceName is the service name in the resource of every span.
const serviceName = "limpetspand"

// Provider provides tracers and exports their spans.
type Provider struct {
	trace.TracerProvider
	sdk *sdktrace.TracerProvider
}

// NewProvider returns the provider that the settings select. The stdout exporter writes to
// stdout.
func NewProvider(ctx context.Context, cfg settings.Trace, daemon settings.Daemon, stdout io.Writer) (*Provider, error) {
	exporter, err := newExporter(ctx, cfg, stdout)
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	if exporter == nil {
		return Disabled(), nil
	}
	return newProvider(cfg.Sample, daemon, sdktrace.WithBatcher(exporter)), nil
}

// Disabled returns a provider whose spans are not recorded.
func Disabled() *Provider { return &Provider{TracerProvider: noop.NewTracerProvider()} }

// newProvider returns a provider that follows the parent's sampling decision if there is a
// parent and samples by ratio otherwise, so that a request is traced on all its hops or on
// none.
func newProvider(sample float64, daemon settings.Daemon, processor sdktrace.TracerProviderOption) *Provider {
	sdk := sdktrace.NewTracerProvider(
		processor,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(sample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", serviceName),
			attribute.String("service.instance.id", daemon.ID),
			attribute.String("limpetspan.zone", daemon.Zone),
			attribute.String("limpetspan.region", daemon.Region),
		)))
	return &Provider{TracerProvider: sdk, sdk: sdk}
}

func newExporter(ctx context.Context, cfg settings.Trace, stdout io.Writer) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case settings.ExporterStdout:
		return stdouttrace.New(stdouttrace.WithWriter(stdout))
	case settings.ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
	}
	return nil, nil
}

// Enabled reports whether spans are recorded.
func (p *Provider) Enabled() bool { return p.sdk != nil }

// Shutdown flushes the remaining spans and stops the exporter.
func (p *Provider) Shutdown(ctx context.Context) error {
	if p.sdk == nil {
		return nil
	}
	return p.sdk.Shutdown(ctx)
}
