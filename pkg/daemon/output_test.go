package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/group"
	"limpetspan/core/trace"
	"limpetspan/pkg/daemon"
	"limpetspan/pkg/settings"
)

// output is a buffer for several goroutines.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// span is the part of an exported span that matters here.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

var _ = Describe("what a daemon emits", func() {
	It("has a span for each hop, joined to the caller's trace across daemons", func(ctx SpecContext) {
		const traceID, callerSpan = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
		w := newWorld(context.Background())
		var out output
		traced := func(s *settings.Settings, o *daemon.Options) {
			s.Trace.Exporter, o.Stdout = settings.ExporterStdout, &out
		}
		daemons := []*running{w.start("a", "z1", traced), w.start("b", "z2", traced)}
		for _, d := range daemons {
			Eventually(d.Ready).WithTimeout(bound).Should(Succeed())
		}
		var away *running
		Eventually(func() *running {
			for i, d := range daemons {
				if len(d.Status(false).Homes) == 1 {
					away = daemons[1-i]
				}
			}
			return away
		}).WithTimeout(bound).ShouldNot(BeNil())
		_, err := away.connect(ctx, "s").Exec(ctx, "/*traceparent='00-"+traceID+"-"+callerSpan+"-01'*/ SELECT 1")
		Expect(err).NotTo(HaveOccurred())
		for _, d := range daemons {
			d.Drain()
			Eventually(d.done).WithTimeout(bound).Should(Receive(BeNil()))
			d.done <- nil
		}
		parents, ids := make(map[string]string), make(map[string]string)
		decoder := json.NewDecoder(strings.NewReader(out.String()))
		for decoder.More() {
			var s span
			Expect(decoder.Decode(&s)).To(Succeed())
			if s.SpanContext.TraceID == traceID {
				parents[s.Name], ids[s.Name] = s.Parent.SpanID, s.SpanContext.SpanID
			}
		}
		Expect(parents).To(Equal(map[string]string{"entry": callerSpan, "home": ids["entry"], "target": ids["home"]}))
	})

	It("has recorded events that replay to the recorded effects", func(ctx SpecContext) {
		w := newWorld(context.Background())
		var out output
		a := w.start("a", "z1", func(s *settings.Settings, o *daemon.Options) {
			s.Record.Target, o.Stdout = settings.RecordStdout, &out
		})
		Eventually(a.Ready).WithTimeout(bound).Should(Succeed())
		conn := a.connect(ctx, "s")
		_, err := conn.Exec(ctx, "CREATE TABLE racks (id INTEGER PRIMARY KEY)")
		Expect(err).NotTo(HaveOccurred())
		for range 20 {
			_, err = conn.Exec(ctx, "INSERT INTO racks DEFAULT VALUES")
			Expect(err).NotTo(HaveOccurred())
		}
		a.Drain()
		Eventually(a.done).WithTimeout(bound).Should(Receive(BeNil()))
		a.done <- nil
		var lines [][]byte
		for line := range strings.Lines(out.String()) {
			text, ok := strings.CutPrefix(line, "parkdb\t")
			Expect(ok).To(BeTrue(), line)
			lines = append(lines, []byte(text))
		}
		steps, err := trace.Replay(lines, func(h trace.Header) trace.Reducer {
			return group.New(group.Options{Group: h.Group, Tuning: h.Tuning})
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(steps).To(BeNumerically(">", 60))
	})
})
