package proxy

import (
	"expvar"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

var _ = Describe("a report that sends back a time", func() {
	const lease = 600 * time.Millisecond
	var p *Proxy
	// leaseAfter returns how long the lease on the primary lasts after a report of another daemon's lease.
	leaseAfter := func(m *reportpb.Report) time.Duration {
		m.Daemon = "d2"
		m.Groups = []*reportpb.Group{{Group: "g", Primary: "a", Term: 1, LeaseLeftUs: uint64(lease.Microseconds())}}
		before := now()
		p.peers.handleReport(m)
		return inspect(p.existingGroup("g"), func(c *direct.Group, at core.Time) time.Duration { return c.LeaseExpiry(at).Sub(before) })
	}

	BeforeEach(func() {
		p = New(platform.Settings{Daemon: "d"}, io.Discard)
		p.startedAt = p.startedAt.Add(-time.Hour)
		p.peers = &peers{p: p, known: make(map[core.DaemonID]*peer)}
		at, g := now(), p.group("g")
		g.core.UpdateMembers(at, at, []direct.Member{{ID: "a", Group: "g", Addr: "a"}, {ID: "b", Group: "g", Addr: "b"}, {ID: "c", Group: "g", Addr: "c"}})
		g.core.ConfirmMembers(at)
		g.core.Probed(at, at, "a", direct.Status{Role: core.RolePrimary, Term: 1, Position: core.Position{Term: 1, LSN: 1}})
	})

	It("counts from that time", func() {
		sent := now().Add(-200 * time.Millisecond)
		Expect(leaseAfter(&reportpb.Report{Boot: 2, Echo: int64(sent), EchoBoot: p.boot})).To(And(BeNumerically(">", 0), BeNumerically("<=", 400*time.Millisecond)))
		Expect(p.stats.reportsUndated.String()).To(Equal("{}"))
	})

	// Guards against old content that counts as new. The receiver has lost power, and the sender sends back a
	// time of the earlier boot. The report has waited in the receiver's socket.
	DescribeTable("gives no lease if the time is of an earlier boot",
		func(at time.Duration, boot, echoBoot int64, reason direct.EchoFault) {
			Expect(leaseAfter(&reportpb.Report{Boot: boot, Echo: int64(now().Add(at)), EchoBoot: echoBoot})).To(BeNumerically("<=", 0))
			Expect(p.stats.reportsUndated.Get(string(reason))).NotTo(BeNil())
		},
		Entry("in the future", time.Hour, int64(2), int64(1), direct.EchoOfOtherBoot),
		Entry("in the past", -50*time.Millisecond, int64(2), int64(1), direct.EchoOfOtherBoot),
		Entry("in the future, from a sender of an earlier version", time.Hour, int64(0), int64(0), direct.EchoImpossible),
	)
})

var _ = Describe("daemons that report to each other", func() {
	// Guards against reports that date nothing any more after the receiver was started again.
	It("drop times of a process that has ended, and use those of the next one", func() {
		f := newFleet(2)
		first, second := f.daemons[0], f.daemons[1]
		knows := func(d, other *daemon) func() bool {
			return func() bool {
				d.p.peers.mu.Lock()
				defer d.p.peers.mu.Unlock()
				k := d.p.peers.known[other.s.Daemon]
				return k != nil && k.stamp.Boot == other.p.boot && k.echoFault == ""
			}
		}
		Eventually(knows(first, second), waitLimit).Should(BeTrue())
		Eventually(knows(second, first), waitLimit).Should(BeTrue())

		conn, err := net.Dial("udp4", first.s.GossipAddr(first.s.IP))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		earlier, err := proto.Marshal(&reportpb.Report{Daemon: string(second.s.Daemon), Boot: second.p.boot - 1, Stamp: int64(now())})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() expvar.Var {
			_, err := conn.Write(earlier)
			Expect(err).NotTo(HaveOccurred())
			return second.p.stats.reportsUndated.Get(string(direct.EchoOfOtherBoot))
		}, waitLimit).ShouldNot(BeNil())
		Eventually(f.log, waitLimit).Should(gbytes.Say("report not dated"))
		Eventually(knows(first, second), waitLimit).Should(BeTrue())
		Eventually(knows(second, first), waitLimit).Should(BeTrue())
	})
})

var _ = Describe("a report of the load of members", func() {
	report := direct.Report{Group: "g", Members: []direct.MemberReport{{Member: "a", OpenConns: 2, Running: 1.25}, {Member: "b", OpenConns: 1}}}

	It("arrives as it was sent", func() {
		report.SharesLoad = true
		Expect(decodeReport(encodeReport(&report))).To(Equal(report))
	})

	// Guards against taking a home without connections for one that does not share its load.
	It("is known to be none if the sender has no connection", func() {
		none := direct.Report{Group: "g", SharesLoad: true}
		Expect(decodeReport(encodeReport(&none)).SharesLoad).To(BeTrue())
	})

	// Guards against losing the load of a home of the version without the field.
	It("is known by a member's load alone", func() {
		r := direct.Report{Group: "g", SharesLoad: true, Members: report.Members}
		encoded := encodeReport(&r)
		encoded.SharesLoad = false
		Expect(decodeReport(encoded).SharesLoad).To(BeTrue())
	})

	// Guards against taking a home of an earlier version for one without statements.
	It("is absent where load is not shared", func() {
		report.SharesLoad = false
		got := decodeReport(encodeReport(&report))
		Expect(got.SharesLoad).To(BeFalse())
		Expect(got.Members[0].Running).To(BeZero())
	})
})

var _ = Describe("the homes that share their load", func() {
	// Guards against changing the placement of deployments without uneven hosts and of fleets in which
	// every daemon is a home.
	It("are several homes of a group in a fleet of uneven hosts", func() {
		uneven := []direct.Daemon{{ID: "d1", Weight: 0.8}, {ID: "d2", Weight: 0.2}}
		h := &homes{p: &Proxy{view: &view{daemons: newDaemonList()}}, fleetKnown: true, catalog: &direct.Catalog{},
			table: staticHomes{"g": []core.DaemonID{"d1", "d3"}, "single": []core.DaemonID{"d1"}}}
		h.updateUnevenHosts(uneven)
		several, hosts := h.sharesLoad("g")
		Expect(several && hosts).To(BeTrue())
		several, _ = h.sharesLoad("single")
		Expect(several).To(BeFalse())
		h.updateUnevenHosts(uneven[:1])
		_, hosts = h.sharesLoad("g")
		Expect(hosts).To(BeFalse())
		table := direct.NewHomeTable()
		table.Update(direct.Fleet{Daemons: uneven, Size: len(uneven), Groups: 1})
		h.catalog, h.table = &direct.Catalog{Groups: map[core.GroupID]direct.GroupSpec{"g": {MaxConns: 66}}}, table
		several, _ = h.sharesLoad("g")
		Expect(several).To(BeFalse())
	})
})

var _ = Describe("a daemon that is not listed because its host is weak", func() {
	// Guards against strong homes, all of equal weight, that never learn of the weak hosts of the fleet.
	It("records in the roster that hosts differ, unless that is recorded", func() {
		p := newFleet(1, func(f *fleet) { f.adjustSettings = func(s *platform.Settings) { s.Weight = 0.2 } }).daemons[0].p
		roster := func() direct.Roster { return p.view.daemonList().roster }
		Eventually(func() int { return roster().Daemons }, waitLimit).Should(Equal(1))
		Expect(roster().Uneven).To(BeFalse())
		r, at := registration{p: p}, core.Time(rosterCheckInterval)
		r.recordUneven(at, p.view.daemonList())
		r.recordUneven(at.Add(2*rosterCheckInterval), p.view.daemonList())
		Eventually(func() bool { return roster().Uneven }, waitLimit, "10ms").Should(BeTrue())
		Expect(roster().Daemons).To(Equal(1))
	})

	// Guards against entries that all write to the store at once, or again and again.
	It("writes nothing before its delay has passed, and nothing if the roster has the field", func() {
		r, at := registration{}, core.Time(rosterCheckInterval)
		r.p = &Proxy{settings: platform.Settings{Daemon: "d1", Weight: 0.2}}
		l := newDaemonList()
		l.roster.Daemons = 17
		// A write would fail on the missing client.
		r.recordUneven(at, l)
		r.recordUneven(at.Add(rosterCheckInterval-1), l)
		l.roster.Uneven = true
		r.recordUneven(at.Add(10*rosterCheckInterval), l)
		Expect(r.rosterCheckedAt).To(Equal(at.Add(10 * rosterCheckInterval)))
	})
})
