package proxy

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
	"limpetspan/platform/standin"
)

var _ = Describe("the promotion locks of a daemon's groups", func() {
	// Guards against a promotion request that a partition delivers after its daemon has claimed again for
	// another member, while the call would still wait.
	It("end the call of an order that is followed by another one", func(ctx SpecContext) {
		f := newFleet(1)
		d := f.daemons[0]
		link, err := standin.NewHeldLink(f.store.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
		d.p.client.SetAddresses(f.store.Addr(), link.Addr())
		d.dial("db-primary").queryUntilServed("WRITE k 1")
		g := d.p.existingGroup("ledger")
		order := direct.Effect{Kind: direct.EffectPromote, Member: core.MemberID(f.group.Members()[1].ID), Token: 7, SendDeadline: now().Add(waitLimit)}
		call := d.p.claims.newPromotionCall(g, order)
		call.ctx, call.cancel = context.WithCancel(ctx)
		go call.run()
		Expect(link.AwaitData(ctx)).To(Succeed())
		g.runEffects([]direct.Effect{{Kind: direct.EffectEndPromote, Token: 7}})
		Expect(link.Deliver(ctx)).To(BeZero())
		Expect(f.store.PromoteRequests()).To(BeEmpty())
	}, SpecTimeout(waitLimit))

	// Guards against one call for each group. The replicas are unreachable, so the daemon's leases on the
	// primaries need reads of the promotion locks. Homes of many groups would make a thousand calls a
	// second, especially when the store has just become available again.
	It("are read with one call for all groups", func() {
		f := newFleet(1)
		d := f.daemons[0]
		second, err := standin.NewGroup("second", 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.store.Register(second)).To(Succeed())
		f.version += 2
		Expect(f.store.Put("op/config", map[string]any{
			"version": f.version, "routes": []any{routeTo("db-own", "ledger"), routeTo("db-second", "second")},
			"limits": map[string]any{"tx_idle_ms": 3000},
			"services": []map[string]any{
				{"name": "ledger", "max_conns": 22, "sync_replicas": 0}, {"name": "second", "max_conns": 22, "sync_replicas": 0},
			},
		})).To(Succeed())
		f.awaitConfiguration(f.daemons)
		x, y := d.dial("db-own"), d.dial("db-second")
		x.queryUntilServed("WRITE k 1")
		y.queryUntilServed("WRITE k 1")
		for _, g := range []*standin.Group{f.group, second} {
			for _, m := range g.Members() {
				if !m.IsPrimary() {
					m.SetUnresponsive(true)
				}
			}
		}
		single := d.p.client.Calls()["/api/kv-key"]
		for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			x.queryUntilServed("WRITE k 2")
			y.queryUntilServed("WRITE k 2")
		}
		Expect(d.p.client.Calls()["/api/kv-key"]).To(Equal(single))
	})
})

var _ = Describe("A promotion lock in an era that has not settled", func() {
	// Guards against a lock that is taken without the wait by a daemon that learns of the era while it takes it.
	It("is not taken by a daemon that hears of the era in the same read", func() {
		store, err := standin.NewStore()
		Expect(err).NotTo(HaveOccurred())
		defer store.Close()
		p := New(platform.Settings{Daemon: "d", StoreAddr: store.Addr()}, io.Discard)
		ctx := context.Background()
		_, _, err = p.client.Get(ctx, platform.LocksPrefix+"g")
		Expect(err).To(MatchError(platform.ErrNotFound))
		Expect(p.eras.isSettled()).To(BeTrue())
		store.TakeSnapshot()
		store.RestoreSnapshot(0)
		lock, refusal := p.claims.acquire(ctx, "g", direct.Effect{Kind: direct.EffectClaim, Group: "g", Term: 2})
		Expect(p.eras.isSettled()).To(BeFalse())
		Expect(refusal).To(Equal(textEraNotSettled), "%+v", lock)
	})
})
