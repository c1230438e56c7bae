package proxy

import (
	"math"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
)

var _ = Describe("an odd datagram", func() {
	// Guards against a group without a primary: a datagram named a term above that of every primary, or a
	// sample of its log that no replica reaches.
	It("changes nothing", func() {
		f := newFleet(2)
		d := f.daemons[0]
		x := d.dial("db-own")
		x.queryUntilServed("WRITE k 1")
		conn, err := net.Dial("udp4", d.s.GossipAddr(d.s.IP))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		term := inspect(d.p.group("ledger"), func(c *direct.Group, _ core.Time) core.Term {
			_, term := c.Primary()
			return term
		})
		odd := []*reportpb.Report{
			{Daemon: "odd", Ip: "host.example", Zone: "z", Weight: 1e300},
			{Daemon: "odd", Groups: []*reportpb.Group{{Group: "ledger", Term: 1<<64 - 1}}},
			{Daemon: "odd", Groups: []*reportpb.Group{{Group: "ledger", Ordered: 1<<64 - 1}}},
			{Daemon: "odd", Groups: []*reportpb.Group{{Group: "ledger", Term: 1 << 40}}},
			{Daemon: "odd", Groups: []*reportpb.Group{{Group: "ledger", Ordered: 1 << 40}}},
			{Daemon: "odd", Stamp: -1, Echo: 1<<63 - 1, EchoAgeUs: 1<<64 - 1, Groups: []*reportpb.Group{{Group: "ledger", Primary: f.group.Primary().ID, Term: uint64(term), SampleTerm: 1<<64 - 1}}},
			{Daemon: "odd", Probe: -1}, {Daemon: "odd", ProbeAnswer: -1 << 63}, {Daemon: "a\nb"},
		}
		for _, m := range odd {
			data, err := proto.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Write(data)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(d.p.stats.reportsMalformed.Value, waitLimit).Should(BeNumerically(">=", 7))
		x.queryUntilServed("WRITE k 2")
		Expect(x.query("READ k").rows).To(Equal([]string{"2"}))
		Expect(f.store.PromoteRequests()).To(BeEmpty())
	})
})

var _ = Describe("a report of a group", func() {
	// Guards against a datagram that names a term above that of every later primary.
	It("has no term that a group cannot have reached, and no sample of a later term", func() {
		Expect(hasPlausibleTerms(&reportpb.Group{Term: 9, Ordered: 110, SampleTerm: 9, Members: []*reportpb.Member{{Confirmed: 9}}})).To(BeTrue())
		for _, r := range []*reportpb.Group{
			{Term: math.MaxUint64}, {Ordered: math.MaxUint64}, {Term: 1 << 60}, {Term: 1, SampleTerm: math.MaxUint64}, {Term: 1, Members: []*reportpb.Member{{Confirmed: math.MaxUint64}}},
		} {
			Expect(hasPlausibleTerms(r)).To(BeFalse(), "%v", r)
		}
	})
})
