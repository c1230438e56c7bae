package group

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

// Story: a session's write is acknowledged in term 16, which nobody but its
// own primary has. That primary is cut off; the others are promoted in term 18,
// whose log goes on from term 14 and is longer already. The session reads and
// is not told that its write is gone, because the offset of the write lies
// below the start of term 18. Found by exploration (read-your-writes).
var _ = ginkgo.Describe("a position of a term that the log did not inherit", func() {
	r := &leadership{term: 18, start: core.Position{Term: 14, LSN: 498},
		history: []core.TermStart{{Term: 12, Start: 468}, {Term: 14, Start: 468}, {Term: 18, Start: 498}}}

	ginkgo.DescribeTable("is lost wherever it lies",
		func(p core.Position, lost bool) { Expect(r.isLost(p)).To(Equal(lost)) },
		ginkgo.Entry("below the later term's start", core.Position{Term: 16, LSN: 497}, true),
		ginkgo.Entry("past it", core.Position{Term: 16, LSN: 499}, true),
		ginkgo.Entry("an inherited term, below the start", core.Position{Term: 14, LSN: 498}, false),
		ginkgo.Entry("an inherited term, past the start", core.Position{Term: 14, LSN: 499}, true),
		ginkgo.Entry("older than the kept history", core.Position{Term: 4, LSN: 300}, false),
		ginkgo.Entry("nothing seen yet", core.Position{}, false),
	)
})
