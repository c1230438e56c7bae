package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"limpetspan/pkg/errs"
)

// traceparentKey is the name of the W3C Trace Context header.
const traceparentKey = "traceparent"

// Start starts a span as a child of the traceparent, or as a root span if the traceparent
// is empty or malformed. It returns the traceparent for the next hop, which is the given
// one if spans are not recorded.
func Start(ctx context.Context, tracer trace.Tracer, name, traceparent string, attrs ...attribute.KeyValue) (context.Context, trace.Span, string) {
	if traceparent != "" {
		carrier := propagation.MapCarrier{traceparentKey: traceparent}
		ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	}
	ctx, span := tracer.Start(ctx, name, trace.WithAttributes(attrs...))
	if !span.SpanContext().IsValid() {
		return ctx, span, traceparent
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return ctx, span, carrier[traceparentKey]
}

// End ends the span. On failure it sets the status and records the step, peer and outcome.
func End(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		e := errs.As(err)
		span.SetStatus(codes.Error, e.Message())
		span.SetAttributes(
			attribute.String("limpetspan.step", e.Step),
			attribute.String("limpetspan.peer", e.Peer),
			attribute.String("limpetspan.outcome", e.Outcome.String()),
			attribute.String("limpetspan.error", e.Kind.Name()),
		)
	}
	span.End()
}
