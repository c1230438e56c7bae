package proxy

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/memberconn"
	"limpetspan/platform"
	"limpetspan/platform/standin"
)

// lingerOf returns the linger option of a TCP connection.
func lingerOf(c *net.TCPConn) (l *unix.Linger) {
	GinkgoHelper()
	raw, err := c.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	Expect(raw.Control(func(fd uintptr) { l, err = unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER) })).To(Succeed())
	Expect(err).NotTo(HaveOccurred())
	return l
}

var _ = Describe("orders to a member", func() {
	const claimedTerm = 5

	// setUp returns a daemon's group and a replica that is fenced.
	setUp := func() (*daemon, *group, *standin.Member) {
		GinkgoHelper()
		f := newFleet(1)
		d := f.daemons[0]
		d.dial("db-primary").queryUntilServed("WRITE k 1")
		g := d.p.existingGroup("ledger")
		replica := f.group.Members()[1]
		Expect(replica.IsPrimary()).To(BeFalse())
		fence := command{direct.Effect{Kind: direct.EffectFence, Member: core.MemberID(replica.ID), Term: claimedTerm}, nil}
		newControl(g, fence.Member).execute(fence)
		Expect(replica.FencedTerm()).To(BeEquivalentTo(claimedTerm))
		return d, g, replica
	}

	unfence := func(replica *standin.Member, deadline core.Time) direct.Effect {
		return direct.Effect{Kind: direct.EffectUnfence, Member: core.MemberID(replica.ID), SendDeadline: deadline}
	}

	// Guards against the removal of a fence of the promotion lock's next holder: the order waited behind
	// others to a member that did not answer.
	It("are not sent after the send window of their promotion lock", func() {
		d, g, replica := setUp()
		c := newControl(g, core.MemberID(replica.ID))
		c.execute(command{unfence(replica, now()-1), nil})
		Expect(replica.FencedTerm()).To(BeEquivalentTo(claimedTerm))
		Expect(d.p.stats.ordersExpired.Value()).To(BeEquivalentTo(1))
		c.execute(command{unfence(replica, now().Add(waitLimit)), nil})
		Expect(replica.FencedTerm()).To(BeZero())
	})

	// Guards against the removal of a fence that another daemon makes as soon as the lock is released.
	It("that remove fences end before the promotion lock is released", func(ctx SpecContext) {
		d, g, replica := setUp()
		lock, refusal := d.p.claims.acquire(ctx, g.id, direct.Effect{Kind: direct.EffectClaim, Term: 2})
		Expect(refusal).To(BeEmpty())
		replica.SetProxyStatementDelay(probeTimeout / 2)
		g.runEffects([]direct.Effect{unfence(replica, now().Add(waitLimit)), {Kind: direct.EffectReleaseLock, Token: lock.Token, Term: 1, Highest: 2}})
		Eventually(func() bool {
			item, era, err := d.p.client.Get(context.Background(), platform.LocksPrefix+string(g.id))
			Expect(err).NotTo(HaveOccurred())
			current, _ := parseLock(item.Value, era)
			return current.Released
		}, waitLimit, time.Millisecond).Should(BeTrue())
		Expect(replica.FencedTerm()).To(BeZero())
	})

	// Guards against orders and statements that arrive after their daemon was killed.
	It("and forwarded statements use connections that are reset with the process", func() {
		f := newFleet(2)
		member := f.group.Members()[0]
		target := memberconn.Target{Addr: member.Addr(), Group: "ledger", Member: core.MemberID(member.ID)}
		conn, connErr := dialMember(target, connObserver{}, waitLimit)
		Expect(connErr).To(BeNil())
		defer conn.Close()
		peer := f.daemons[1].s
		link, err := dialLink(peer.Daemon, peer.LinkAddr(peer.IP), waitLimit)
		Expect(err).NotTo(HaveOccurred())
		defer link.Close()
		watched, err := f.daemons[0].p.homes.health.dial(peer.Daemon, peer.LinkAddr(peer.IP), waitLimit)
		Expect(err).NotTo(HaveOccurred())
		defer watched.Close()
		for _, c := range []*net.TCPConn{conn.TCPConn(), link.(*net.TCPConn), watched.(*watchedConn).TCPConn} {
			Expect(lingerOf(c)).To(HaveValue(Equal(unix.Linger{Onoff: 1, Linger: 0})))
		}
	})
})
