package proxy

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// SetTracer enables a span for each hop of a statement: at the entry, on the link to a home, and at
// the member. The spans of different daemons are correlated by the request's id, as the callers'
// protocol cannot carry a trace id. SetTracer must be called before Run.
func (p *Proxy) SetTracer(t trace.Tracer) { p.tracer = t }

// noSpan is the function that startSpan returns if there is no tracer. A hop then costs one comparison.
func noSpan(string) {}

// startSpan starts the span of a hop, as a child of the statement's span if there is one. The
// returned function ends the span with the hop's outcome.
func (s *session) startSpan(name, id, peer string) (end func(outcome string)) {
	if s.p.tracer == nil {
		return noSpan
	}
	parent := s.ctx
	if parent == nil {
		parent = context.Background()
	}
	ctx, span := s.p.tracer.Start(parent, name, trace.WithAttributes(
		attribute.String("limpetspan.request", boundText(id)), attribute.String("limpetspan.database", s.database), attribute.String("limpetspan.peer", peer)))
	s.ctx = ctx
	return func(outcome string) {
		span.SetAttributes(attribute.String("limpetspan.outcome", boundText(outcome)))
		span.End()
		s.ctx = parent
	}
}

// outcomeText returns the hop's outcome: the code of an error answer, the error of the connection,
// or "ok".
func outcomeText(code string, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case code != "":
		return code
	}
	return "ok"
}
