package proxy

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// SetTracer has a span recorded for each hop of a statement: at the entry, on the
// link to a home, and at the member. The request's id joins those of different
// daemons, as the callers' protocol has no room for a trace's. Call it before Run.
func (p *Proxy) SetTracer(t trace.Tracer) { p.tracer = t }

// noSpan ends a span that was never begun: without a tracer a hop costs one
// comparison.
func noSpan(string) {}

// hop begins the span of a hop, below that of the statement if there is one. The
// function that it returns ends the span with the hop's outcome.
func (s *session) startSpan(name, id, peer string) (end func(outcome string)) {
	if s.p.tracer == nil {
		return noSpan
	}
	parent := s.ctx
	if parent == nil {
		parent = context.Background()
	}
	ctx, span := s.p.tracer.Start(parent, name, trace.WithAttributes(
		attribute.String("limpetspan.request", id), attribute.String("limpetspan.database", s.database), attribute.String("limpetspan.peer", peer)))
	s.ctx = ctx
	return func(outcome string) {
		span.SetAttributes(attribute.String("limpetspan.outcome", outcome))
		span.End()
		s.ctx = parent
	}
}

// outcomeText is the hop's outcome: the code of an error answer, what went wrong
// with the connection, or "ok".
func outcomeText(code string, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case code != "":
		return code
	}
	return "ok"
}
