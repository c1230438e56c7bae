package direct_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

var _ = Describe("the echo of a stamp", func() {
	const boot, received = 7, core.Time(time.Hour)
	self := direct.Process{Boot: boot, StartedAt: received.Add(-10 * time.Minute)}
	at := received.Add(-300 * ms)

	DescribeTable("dates a report not later than it was sent",
		func(e direct.Echo, want core.Time) {
			sent, fault := e.SentAt(received, self)
			Expect(fault).To(BeEmpty())
			Expect(sent).To(Equal(want))
		},
		Entry("of this boot", direct.Echo{Stamp: direct.Stamp{Boot: boot, At: at}, Age: 200 * ms, NamesBoot: true}, at.Add(200*ms)),
		Entry("of this boot, by a sender whose clock is fast", direct.Echo{Stamp: direct.Stamp{Boot: boot, At: at}, Age: 301 * ms, NamesBoot: true}, received),
		Entry("of an earlier version", direct.Echo{Stamp: direct.Stamp{At: at}, Age: 200 * ms}, at.Add(200*ms)),
		Entry("of none", direct.Echo{NamesBoot: true}, core.Time(0)),
	)

	// Guards against old content that counts as new. The receiver's host has lost power, and the sender,
	// which was cut off meanwhile, still sends back a time of the earlier boot.
	DescribeTable("dates nothing if it may be of an earlier boot",
		func(e direct.Echo, want direct.EchoFault) {
			sent, fault := e.SentAt(received, self)
			Expect(fault).To(Equal(want))
			Expect(sent).To(BeZero())
		},
		Entry("in the future", direct.Echo{Stamp: direct.Stamp{Boot: 6, At: received.Add(time.Hour)}, NamesBoot: true}, direct.EchoOfOtherBoot),
		Entry("in the past", direct.Echo{Stamp: direct.Stamp{Boot: 6, At: at}, NamesBoot: true}, direct.EchoOfOtherBoot),
		Entry("written before this daemon was upgraded", direct.Echo{Stamp: direct.Stamp{At: at}, NamesBoot: true}, direct.EchoOfOtherBoot),
		Entry("from an earlier version, in the future", direct.Echo{Stamp: direct.Stamp{At: received.Add(time.Second)}}, direct.EchoImpossible),
		Entry("from an earlier version, in the future with its age", direct.Echo{Stamp: direct.Stamp{At: at}, Age: 2 * time.Second}, direct.EchoImpossible),
		Entry("from an earlier version, before the start of the process", direct.Echo{Stamp: direct.Stamp{At: self.StartedAt - 1}}, direct.EchoImpossible),
		Entry("from an earlier version, in the past as its age is cut", direct.Echo{Stamp: direct.Stamp{At: received.Add(-2 * time.Minute)}, Age: direct.MaxEchoAge}, direct.EchoTooOld),
		// Guards against a sum that wraps around.
		Entry("the last time that there is", direct.Echo{Stamp: direct.Stamp{Boot: boot, At: math.MaxInt64}, Age: direct.MaxEchoAge, NamesBoot: true}, direct.EchoImpossible),
		Entry("a negative time", direct.Echo{Stamp: direct.Stamp{Boot: boot, At: math.MinInt64}, NamesBoot: true}, direct.EchoImpossible),
	)
})
