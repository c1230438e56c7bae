package record_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/record"
)

func TestRecord(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "record")
}

const secondUS = int64(1e6)

// failover is a run whose primary is unavailable from 1 s to 3 s.
var failover = []record.Event{
	{Kind: record.Statement, AtUS: secondUS / 2, LatencyUS: 2000, Outcome: record.Served},
	{Kind: record.Statement, AtUS: secondUS / 2, LatencyUS: 4000, Outcome: record.Served, Read: true, Replica: true},
	{Kind: record.Fault, AtUS: secondUS, Text: "primary silent"},
	{Kind: record.Statement, AtUS: 2 * secondUS, LatencyUS: 680000, Outcome: record.NotRun},
	{Kind: record.Statement, AtUS: 2 * secondUS, LatencyUS: 3000, Outcome: record.Served, Read: true},
	{Kind: record.Statement, AtUS: 3 * secondUS, LatencyUS: 2000, Outcome: record.Unknown},
	{Kind: record.Statement, AtUS: 3 * secondUS, LatencyUS: 2000, Outcome: record.Served},
}

var _ = Describe("a record", func() {
	It("is summarized by windows, with the longest write gap and the share of reads at replicas", func() {
		s := record.Summarize(failover, time.Second)
		Expect(s.Rows).To(HaveLen(4))
		Expect(s.Rows[1].Faults).To(Equal([]string{"primary silent"}))
		Expect(s.Rows[2].NotRun).To(Equal(1))
		Expect(s.Rows[0].P99).To(BeNumerically("~", 4*time.Millisecond, 50*time.Microsecond))
		Expect(s.Gap).To(Equal(2500 * time.Millisecond))
		Expect(s.GapEnd).To(Equal(3 * time.Second))
		Expect(s.ReplicaReads).To(Equal(0.5))
		Expect(s.Total.Served).To(Equal(4))
		Expect(s.Total.Unknown).To(Equal(1))
	})

	It("is read back as written and can be plotted", func() {
		var file bytes.Buffer
		w := record.NewWriter(&file)
		w.Fault("pause")
		w.Statement(time.Now().Add(-time.Millisecond), record.Served, true, true)
		Expect(w.Err()).NotTo(HaveOccurred())
		events, err := record.Read(&file)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(2))
		Expect(events[0].Text).To(Equal("pause"))
		Expect(events[1].LatencyUS).To(BeNumerically(">=", 1000))
		s := record.Summarize(events, time.Second)
		plot := filepath.Join(GinkgoT().TempDir(), "run.svg")
		Expect(s.Plot(events, plot)).To(Succeed())
		data, err := os.ReadFile(plot)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring("<svg"))
	})

	DescribeTable("is rejected with the number of the malformed line",
		func(text, message string) {
			_, err := record.Read(strings.NewReader(text))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry(nil, "{\"kind\":\"fault\"}\nnot json\n", "line 2: "),
		Entry(nil, "{\"kind\":\"other\"}\n", `line 1: unknown kind "other"`),
	)

	It("may be empty", func() {
		Expect(record.Summarize(nil, time.Second).Rows).To(BeEmpty())
	})
})
