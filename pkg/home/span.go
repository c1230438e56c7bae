package home

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
)

// callSpans are the spans of one request: "home" for its stay here and "target"
// for each try at a member. Without a tracer they cost a nil check.
type callSpans struct {
	tracer       trace.Tracer
	ctx          context.Context
	home, target trace.Span
}

// start begins the span "home", joined to the request's traceparent.
func (c *callSpans) start(ctx context.Context, s *Shard, req *exchange.Request) {
	c.tracer = s.manager.options.Tracer
	if c.tracer == nil {
		return
	}
	if req.Traceparent != "" {
		carrier := propagation.MapCarrier{"traceparent": req.Traceparent}
		ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	}
	c.ctx, c.home = c.tracer.Start(ctx, "home", trace.WithAttributes(
		attribute.String("limpetspan.group", string(s.id)),
		attribute.String("limpetspan.daemon", string(s.manager.options.Self)),
		attribute.Bool("limpetspan.read", req.Read),
	))
}

func (c *callSpans) startTarget(d *group.Dispatch) {
	if c.tracer == nil {
		return
	}
	_, c.target = c.tracer.Start(c.ctx, "target", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("limpetspan.member", string(d.Member)),
		attribute.Int64("limpetspan.connection", int64(d.Conn)),
	))
}

var resultNames = [...]string{
	group.ResultOK:       "ok",
	group.ResultNotSent:  "not_sent",
	group.ResultLost:     "lost",
	group.ResultLeaving:  "leaving",
	group.ResultReadOnly: "read_only",
}

func (c *callSpans) endTarget(r *run) {
	if c.tracer == nil {
		return
	}
	c.target.SetAttributes(
		attribute.String("limpetspan.result", resultNames[r.result]),
		attribute.String("limpetspan.sqlstate", r.answer.Code),
	)
	c.target.End()
}

func (c *callSpans) end(err error) {
	if c.tracer == nil {
		return
	}
	outcome := "ran"
	if err != nil {
		e := errs.As(err)
		outcome = e.Outcome.String()
		c.home.SetStatus(codes.Error, e.Message())
		c.home.SetAttributes(attribute.String("limpetspan.step", e.Step))
	}
	c.home.SetAttributes(attribute.String("limpetspan.outcome", outcome))
	c.home.End()
}
