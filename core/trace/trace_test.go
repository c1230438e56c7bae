package trace_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/group"
	"limpetspan/core/trace"
)

func TestTrace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trace")
}

func newReducer(h trace.Header) trace.Reducer {
	return group.New(group.Options{Group: h.Group, Tuning: h.Tuning})
}

func readTrace(name string) [][]byte {
	GinkgoHelper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".jsonl"))
	Expect(err).NotTo(HaveOccurred())
	return bytes.Split(data, []byte("\n"))
}

// outcome counts what a trace states and whether its group is served at the end.
type outcome struct {
	// promotions counts those that the recorded daemon requested, including its first one.
	promotions int
	handovers  int
	// servesAtEnd means that a request was acknowledged in the last second.
	servesAtEnd bool
}

// lastSecondNS is the length of the end of a trace, in nanoseconds.
const lastSecondNS = 1_000_000_000

func outcomeOf(lines [][]byte) outcome {
	GinkgoHelper()
	var o outcome
	var last, acknowledged int64
	for _, line := range lines[1:] {
		if len(line) == 0 {
			continue
		}
		var step struct {
			At      int64        `json:"at"`
			Effects []trace.Item `json:"effects"`
		}
		Expect(json.Unmarshal(line, &step)).To(Succeed())
		last = step.At
		for _, e := range step.Effects {
			switch e.Type {
			case "promote":
				o.promotions++
			case "send_handover":
				o.handovers++
			case "acknowledge":
				acknowledged = step.At
			}
		}
	}
	o.servesAtEnd = last-acknowledged < lastSecondNS
	return o
}

var _ = Describe("the traces of failures", func() {
	// The header of each trace describes its failure.
	DescribeTable("replay as stated",
		func(name string, want outcome) {
			lines := readTrace(name)
			header, err := trace.DecodeHeader(lines[0])
			Expect(err).NotTo(HaveOccurred())
			Expect(header.Description).NotTo(BeEmpty())
			_, err = trace.Replay(lines, newReducer)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcomeOf(lines)).To(Equal(want))
		},
		Entry(nil, "primary-crash", outcome{promotions: 2, servesAtEnd: true}),
		Entry(nil, "primary-partition", outcome{promotions: 2, servesAtEnd: true}),
		Entry(nil, "primary-paused", outcome{promotions: 2, servesAtEnd: true}),
		Entry(nil, "primary-cut-off-from-peers", outcome{promotions: 2, servesAtEnd: true}),
		Entry(nil, "primary-crash-with-lagging-replica", outcome{promotions: 2, servesAtEnd: true}),
		Entry(nil, "replicas-lagging", outcome{promotions: 1, servesAtEnd: true}),
		Entry(nil, "connections-silent", outcome{promotions: 1, servesAtEnd: true}),
		Entry(nil, "home-cut-off-with-primary", outcome{promotions: 1}),
		Entry(nil, "home-paused", outcome{promotions: 1}),
		Entry(nil, "home-crash", outcome{promotions: 1, servesAtEnd: true}),
		Entry(nil, "home-paused-and-primary-crash", outcome{promotions: 1, servesAtEnd: true}),
		Entry(nil, "home-drained", outcome{promotions: 1, handovers: 1}),
	)

	It("replay for every file in testdata", func() {
		files, err := filepath.Glob("testdata/*.jsonl")
		Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			_, err := trace.Replay(readTrace(strings.TrimSuffix(filepath.Base(file), ".jsonl")), newReducer)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})
})

var _ = Describe("a trace that differs from its replay", func() {
	It("is reported with the line, the step and the peer of the first difference", func() {
		lines := readTrace("primary-crash")
		for i, line := range lines {
			if bytes.Contains(line, []byte(`"type":"promoted"`)) {
				lines[i] = bytes.Replace(line, []byte(`"effects":[]`), []byte(`"effects":[{"type":"drained","value":{}}]`), 1)
				Expect(lines[i]).NotTo(Equal(line))
				break
			}
		}
		_, err := trace.Replay(lines, newReducer)
		var mismatch *trace.Mismatch
		Expect(err).To(BeAssignableToTypeOf(mismatch))
		Expect(err.Error()).To(MatchRegexp(`^line \d+: step=promoted peer=m\d: stated drained {}, got nothing`))
	})

	It("may state only part of the effects of a line marked as partial", func() {
		lines := readTrace("primary-crash")
		for i, line := range lines {
			if bytes.Contains(line, []byte(`"type":"promote",`)) {
				lines[i] = bytes.Replace(bytes.TrimSuffix(line, []byte("}")), []byte(`"effects":[`), []byte(`"partial":true,"effects":[`), 1)
				lines[i] = append(lines[i], '}')
				break
			}
		}
		_, err := trace.Replay(lines, newReducer)
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("is rejected if it cannot be decoded",
		func(header, line, message string) {
			_, err := trace.Replay([][]byte{[]byte(header), []byte(line)}, newReducer)
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("not JSON", `x`, ``, "trace header"),
		Entry("another version", `{"trace":9,"group":"g","tuning":{}}`, ``, "version 9"),
		Entry("a misspelt field", `{"trace":1,"group":"g","tuning":{}}`, `{"at":1,"type":"tick","event":{"x":1},"effects":[]}`, `unknown field "x"`),
		Entry("an unknown event", `{"trace":1,"group":"g","tuning":{}}`, `{"at":1,"type":"tock","effects":[]}`, `unknown event type "tock"`),
	)
})
