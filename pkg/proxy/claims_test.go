package proxy

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform/standin"
)

var _ = Describe("the promotion locks of a daemon's groups", func() {
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
