package group

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// A write is acknowledged in term 16, whose log is only at its own primary. That
// primary is cut off. Term 18 continues the log of term 14 and starts at an
// offset above the write. By its offset alone the write would count as kept, and
// its session would read without it. The explorer found this as a violation of
// read-your-writes.
var _ = ginkgo.Describe("position of a term that the log did not inherit", func() {
	l := &leadership{term: 18, start: core.Position{Term: 14, LSN: 498},
		history: []core.TermStart{{Term: 12, Start: 468}, {Term: 14, Start: 468}, {Term: 18, Start: 498}}}

	ginkgo.DescribeTable("is lost at any offset",
		func(p core.Position, lost bool) { Expect(l.isLost(p)).To(Equal(lost)) },
		ginkgo.Entry("below the later term's start", core.Position{Term: 16, LSN: 497}, true),
		ginkgo.Entry("past the later term's start", core.Position{Term: 16, LSN: 499}, true),
		ginkgo.Entry("inherited term, up to the start", core.Position{Term: 14, LSN: 498}, false),
		ginkgo.Entry("inherited term, past the start", core.Position{Term: 14, LSN: 499}, true),
		ginkgo.Entry("older than the kept history", core.Position{Term: 4, LSN: 300}, false),
		ginkgo.Entry("no position seen", core.Position{}, false),
	)
})
