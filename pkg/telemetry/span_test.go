package telemetry

import (
	"bytes"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/settings"
)

var _ = Describe("telemetry", func() {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	var (
		exporter *tracetest.InMemoryExporter
		provider *Provider
	)

	BeforeEach(func() {
		exporter = tracetest.NewInMemoryExporter()
		provider = newProvider(0, settings.Daemon{ID: "d1"}, sdktrace.WithSyncer(exporter))
	})

	It("continues a sampled caller's trace at any ratio and propagates it", func(ctx SpecContext) {
		_, span, next := Start(ctx, provider.Tracer("t"), "entry", parent)
		End(span, errs.New(errs.Unavailable, core.OutcomeNotRun, "entry.route", "d2", "no home"))
		Expect(next).To(HavePrefix("00-0af7651916cd43dd8448eb211c80319c-"))
		Expect(next).NotTo(Equal(parent))
		spans := exporter.GetSpans()
		Expect(spans).To(HaveLen(1))
		Expect(spans[0].Parent.SpanID().String()).To(Equal("b7ad6b7169203331"))
		Expect(spans[0].Status.Description).To(Equal("no home"))
	})

	It("ignores a malformed traceparent", func(ctx SpecContext) {
		_, span, _ := Start(ctx, provider.Tracer("t"), "entry", "00-zz")
		End(span, nil)
		Expect(exporter.GetSpans()).To(BeEmpty())
	})

	It("propagates the caller's traceparent if spans are disabled", func(ctx SpecContext) {
		_, span, next := Start(ctx, Disabled().Tracer("t"), "entry", parent)
		End(span, nil)
		Expect(next).To(Equal(parent))
	})

	It("logs JSON lines with the ID of the daemon", func() {
		var out bytes.Buffer
		NewLogger(&out, "info", "d1").Info("ready", "addr", "127.0.0.1:1")
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKeyWithValue("daemon", "d1"))
		Expect(line).To(HaveKeyWithValue("@message", "ready"))
	})
})
