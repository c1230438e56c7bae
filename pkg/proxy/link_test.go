package proxy

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
)

// useHomes makes the daemons of the fleet choose only these homes for the group.
func (f *fleet) useHomes(homes ...*daemon) {
	for _, d := range f.daemons {
		for _, home := range homes {
			// An entry that does not know the home yet would choose another daemon.
			Eventually(func() bool {
				return d == home || slices.Contains(d.p.homes.candidates("ledger", ""), home.s.Daemon)
			}, waitLimit).Should(BeTrue())
		}
		h := d.p.homes
		h.mu.Lock()
		var ids []core.DaemonID
		for _, home := range homes {
			ids = append(ids, home.s.Daemon)
		}
		h.setStaticHomes("ledger", ids...)
		h.mu.Unlock()
	}
}

// awaitAllDiscovered waits until each daemon knows all others. A daemon can consider its list
// complete earlier. If it then knows only one home, and that home has no host list, no home can
// serve its sessions.
func (f *fleet) awaitAllDiscovered() {
	for _, d := range f.daemons {
		Eventually(func() int { return len(d.p.homes.candidates("ledger", "")) }, waitLimit).Should(Equal(len(f.daemons) - 1))
	}
}

var _ = Describe("a session at an entry", func() {
	It("runs its statements at a home, with its values, prepared statements and transactions", func() {
		f := newFleet(2)
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		x := entry.dial("db-own")
		x.queryUntilServed("WRITE k 1")
		Expect(x.query("READ k").rows).To(Equal([]string{"1"}))
		Expect(x.query("SET zone jst").result).To(Equal("COMPLETE -"))
		Expect(x.query("PREPARE w WRITE q1").result).To(Equal("COMPLETE -"))
		Expect(x.query("EXECUTE w k 2").isServed()).To(BeTrue())
		Expect(x.query("DEALLOCATE w").result).To(Equal("COMPLETE -"))
		x.query("BEGIN")
		Expect(x.query("WRITE k 3").state).To(Equal("T"))
		Expect(x.query("COMMIT").isServed()).To(BeTrue())
		x.query("BEGIN")
		Expect(x.query("WRITE bad 1").result).To(Equal("ERROR FAILED no such item"))
		Expect(x.query("ROLLBACK").state).To(Equal("I"))
		Expect(x.query("READ k").rows).To(Equal([]string{"3"}))
		Expect(entry.p.stats.dials.Value()).To(BeNumerically("<=", home.p.stats.dials.Value()))
	})

	// A daemon has started just before the store became unavailable: it has the
	// configuration and is a home, but knows no member. Unless it forwards its sessions,
	// its callers and those of entries that use it as home are refused until the store is
	// back.
	It("runs at another home while its own home has no host list", func() {
		f := newFleet(3)
		f.awaitAllDiscovered()
		memberless := f.daemons[1]
		memberless.dial("db-own").queryUntilServed("WRITE k 1")
		time.Sleep(hostListTimeout)
		memberless.cutStoreAndWait()
		g := memberless.p.existingGroup("ledger")
		g.mu.Lock()
		g.core = direct.NewGroup("ledger", memberless.s.Daemon, memberless.s.Zone)
		g.mu.Unlock()
		memberless.p.view.mu.Lock()
		memberless.p.view.hasMembers = false
		memberless.p.view.mu.Unlock()
		Expect(memberless.p.lacksMembers("ledger")).To(BeTrue())
		Expect(memberless.dial("db-own").query("READ k").rows).To(Equal([]string{"1"}))
		f.useHomes(memberless)
		Expect(f.daemons[2].dial("db-own").query("READ k").rows).To(Equal([]string{"1"}))
	})

	// The store was unavailable for longer than its leases last, so the members' entries
	// have expired when it is back. If a home forwards its sessions then, they reach daemons
	// that know no member either, and these use up the members' connections once the members
	// are listed again.
	It("stays at a home whose host list has no member of the group yet", func() {
		f := newFleet(1)
		d := f.daemons[0]
		time.Sleep(hostListTimeout)
		for _, m := range f.group.Members() {
			f.store.Remove("servers/" + m.ID)
		}
		g := d.p.existingGroup("ledger")
		g.mu.Lock()
		g.core = direct.NewGroup("ledger", d.s.Daemon, d.s.Zone)
		g.mu.Unlock()
		Expect(d.p.lacksMembers("ledger")).To(BeFalse())
		Expect(f.store.Register(f.group)).To(Succeed())
		d.dial("db-own").queryUntilServed("WRITE k 1")
	})

	// One daemon cannot reach the primary, but the others can, so the primary is not
	// replaced. Unless the daemon forwards writes, its callers are refused for as long as
	// the partition lasts.
	It("runs its writes at another home while its own home cannot reach the primary", func() {
		f := newFleet(4)
		// A daemon without the store discovers no further homes.
		f.awaitJoined()
		alone := f.daemons[1]
		x := alone.dial("db-own")
		x.queryUntilServed("WRITE k 1")
		alone.cutStoreAndWait()
		g := alone.p.existingGroup("ledger")
		g.mu.Lock()
		var list []direct.Member
		for _, m := range f.group.Members() {
			addr := m.Addr()
			if m.IsPrimary() {
				addr = freeAddr("127.0.0.1")
			}
			list = append(list, direct.Member{ID: core.MemberID(m.ID), Group: "ledger", Addr: addr, Zone: "zone-1", Slots: 3})
		}
		g.core.UpdateMembers(now(), now(), list)
		g.mu.Unlock()
		g.closeAllIdle()
		Eventually(func() bool { return alone.p.isCutOff("ledger") }, waitLimit).Should(BeTrue())
		Expect(x.query("WRITE k 2").result).To(HavePrefix("COMPLETE"), f.logTail)
		Expect(x.query("READ k").rows).To(Equal([]string{"2"}), "the read sees the write made through another home")
		Expect(f.store.PromoteRequests()).To(BeEmpty())
	})

	// A home stops as planned. If the entry noticed this only by a closed connection, it
	// could not know whether the session's next write ran.
	It("moves to another home when its home stops, and loses no write", func() {
		f := newFleet(3)
		f.useHomes(f.daemons[0], f.daemons[1])
		var sessions []*caller
		for range 6 {
			x := f.daemons[2].dial("db-own")
			x.queryUntilServed("WRITE k 0")
			sessions = append(sessions, x)
		}
		f.daemons[0].stop()
		for i := 0; ; i++ {
			for n, x := range sessions {
				key := fmt.Sprintf("k%d-%d", n, i)
				Expect(x.query("WRITE "+key+" v").isServed()).To(BeTrue(), "write %s", key)
				Expect(x.query("READ " + key).rows).To(Equal([]string{"v"}))
			}
			select {
			case err := <-f.daemons[0].done:
				Expect(err).NotTo(HaveOccurred())
				f.daemons[0].done <- nil
				return
			default:
			}
		}
	})

	It("records a span for each hop", func() {
		f := newFleet(2)
		f.useHomes(f.daemons[0])
		spans := tracetest.NewInMemoryExporter()
		provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
		for _, d := range f.daemons {
			d.p.SetTracer(provider.Tracer("test"))
		}
		x := f.daemons[1].dial("db-primary")
		a := x.queryUntilServed("WRITE k 1")
		names := func() (names []string) {
			for _, span := range spans.GetSpans() {
				for _, attr := range span.Attributes {
					if attr.Value.AsString() == a.id {
						names = append(names, span.Name)
					}
				}
			}
			return names
		}
		// A statement's span ends after its answer has been sent, so the caller may have
		// the answer before the span is exported.
		Eventually(names, waitLimit).Should(ConsistOf("entry.statement", "home.link", "entry.statement", "member.exchange"))
	})

	// Another daemon has become the home. Sessions that stay at the old one keep its
	// connections to members open beside those of the new one, and together they exceed
	// the members' connection limits.
	It("moves to the new home when the old one is no longer a home", func() {
		f := newFleet(3)
		f.useHomes(f.daemons[0])
		x := f.daemons[2].dial("db-own")
		x.queryUntilServed("WRITE k 1")
		Expect(f.daemons[0].p.countSessions()).To(Equal(1))
		f.useHomes(f.daemons[1])
		Expect(x.queryUntilServed("READ k").rows).To(Equal([]string{"1"}))
		Expect(f.daemons[1].p.countSessions()).To(Equal(1))
		Eventually(f.daemons[0].p.countSessions, waitLimit).Should(BeZero())
	})

	// No home answers. The refusal must carry the state that the session has after it. A
	// caller that receives the state of an open transaction would end that transaction or
	// its session.
	It("receives the state of a transaction for which no home answers", func() {
		f := newFleet(2)
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		x := entry.dial("db-own")
		home.kill()
		x.query("BEGIN")
		a := x.query("WRITE k 1")
		Expect(a.result).To(HavePrefix("ERROR BUSY"))
		Expect(a.state).To(Equal("E"))
		Expect(x.query("ROLLBACK").state).To(Equal("I"))
		x.query("BEGIN")
		a = x.query("COMMIT")
		Expect(a.result).To(HavePrefix("ERROR BUSY"))
		Expect(a.state).To(Equal("I"))
	})

	// The home asks for a move because it stops, while a statement of the entry is on its
	// way. If the home closed the link now, the statement's outcome would be in doubt.
	It("is served by the home even after the home has asked for a move", func() {
		f := newFleet(1)
		d := f.daemons[0]
		d.dial("db-primary").queryUntilServed("WRITE k 1")
		c, err := net.Dial("tcp", d.s.LinkAddr(d.s.IP))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = protodelim.MarshalTo(c, &reportpb.Hello{Database: "db-primary", Entry: "edge-9"})
		Expect(err).NotTo(HaveOccurred())
		x := &caller{c: c, r: bufio.NewReader(c)}
		Expect(protodelim.UnmarshalFrom(x.r, &reportpb.Welcome{})).To(Succeed())
		d.stop()
		Expect(x.line()).To(Equal("TERMINATE"))
		Expect(x.query("WRITE k 2").isServed()).To(BeTrue())
	})

	// The home has closed the link while the session was idle. The next write must not be
	// sent on the closed link, because its outcome would be in doubt.
	It("connects to another home before it sends on a link that was closed", func() {
		f := newFleet(3)
		f.useHomes(f.daemons[0], f.daemons[1])
		x := f.daemons[2].dial("db-primary")
		for i := range 5 {
			x.queryUntilServed(fmt.Sprintf("WRITE k%d v", i))
			for _, d := range f.daemons[:2] {
				d.p.mu.Lock()
				for s := range d.p.sessions {
					_ = s.c.Close()
				}
				d.p.mu.Unlock()
			}
			Eventually(func() int { return f.daemons[0].p.countSessions() + f.daemons[1].p.countSessions() }, waitLimit).Should(BeZero())
			Expect(x.query(fmt.Sprintf("WRITE again%d v", i)).isServed()).To(BeTrue())
		}
	})

	// The home fails while it runs a write. The entry knows that the write was sent, but not
	// whether it ran. A read runs again at another home.
	It("reports a write as in doubt when its home fails during it", func() {
		f := newFleet(2)
		f.useHomes(f.daemons[0])
		x := f.daemons[1].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		f.group.SetStatementDelay(waitLimit / 10)
		answered := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			answered <- x.query("WRITE k 2")
		}()
		p := f.daemons[0].p
		Eventually(func() int64 { return p.stats.statements.Value() }, waitLimit).Should(BeNumerically(">=", 2))
		p.mu.Lock()
		for s := range p.sessions {
			_ = s.c.Close()
		}
		p.mu.Unlock()
		var a answer
		Eventually(answered, waitLimit).Should(Receive(&a))
		Expect(a.result).To(HavePrefix("ERROR INDOUBT"))
		f.group.SetStatementDelay(0)
		Expect(x.queryUntilServed("READ k").rows).To(HaveLen(1))
	})
})
