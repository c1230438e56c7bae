package home_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/core/trace"
	"limpetspan/pkg/home"
	"limpetspan/pkg/target"
)

// lineRecorder keeps a trace in memory.
type lineRecorder struct {
	mu    sync.Mutex
	lines [][]byte
}

func (r *lineRecorder) Record(_ core.GroupID, now core.Time, ev group.Event, effects []group.Effect) {
	defer GinkgoRecover()
	line, err := trace.EncodeStep(now, ev, effects)
	Expect(err).NotTo(HaveOccurred())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

var _ = Describe("A recorded run", func() {
	It("replays identically", func() {
		members := startMembers()
		recorder := &lineRecorder{}
		header, err := trace.EncodeHeader(trace.Header{Group: "g", Self: "d1"})
		Expect(err).NotTo(HaveOccurred())
		recorder.lines = append(recorder.lines, header)
		d := &daemon{now: clock()}
		d.manager = home.New(home.Options{
			Self: "d1", Zone: "z1", Dialer: &target.Dialer{User: "u"}, Now: d.now, Recorder: recorder,
		})
		DeferCleanup(d.manager.Close)
		d.manager.Ensure("g", declare(members), 1, []group.Candidate{{ID: "d1", Zone: "z1"}})
		d.eventually(query("CREATE TABLE charge(amount int)"))
		for range 5 {
			d.run('I', "", query("INSERT INTO charge VALUES(7)"))
		}
		Expect(members.Faults().Crash("b")).To(Succeed())
		d.eventually(query("SELECT * FROM charge"))
		d.manager.Close()

		steps, err := trace.Replay(recorder.lines, func(h trace.Header) trace.Reducer {
			return group.New(group.Options{Group: h.Group, Tuning: h.Tuning})
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(steps).To(BeNumerically(">", 20))
	})
})

var _ = Describe("The spans of a request", func() {
	It("are joined to the caller's trace", func() {
		spans := tracetest.NewSpanRecorder()
		provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
		r := newTracedRig(1, provider.Tracer("limpetspan/home"))
		DeferCleanup(r.close)
		req := r.request(1, query("SELECT 1"))
		req.Traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		_, err := r.manager.Do(context.Background(), req, &answer{})
		Expect(err).NotTo(HaveOccurred())
		ended := spans.Ended()
		Expect(ended).To(HaveLen(2))
		Expect([]string{ended[0].Name(), ended[1].Name()}).To(Equal([]string{"target", "home"}))
		Expect(ended[1].Parent().SpanID().String()).To(Equal("b7ad6b7169203331"))
		Expect(ended[0].Parent().SpanID()).To(Equal(ended[1].SpanContext().SpanID()))
		Expect(ended[0].Attributes()).To(ContainElement(attribute.String("limpetspan.member", "m1")))
		Expect(ended[1].Attributes()).To(ContainElement(attribute.String("limpetspan.outcome", "ran")))
	})
})
