package store_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/standin/store"
)

var _ = Describe("Engine", func() {
	var (
		clock *store.ManualClock
		e     *store.Engine
	)
	put := func(key, value string, lease int64) int64 {
		revision, err := e.Put(store.Put{Key: key, Value: []byte(value), Lease: lease})
		Expect(err).NotTo(HaveOccurred())
		return revision
	}
	get := func(key string) (string, bool) {
		r, _, err := e.Range(store.Range{KeyRange: store.KeyRange{Key: key}})
		Expect(err).NotTo(HaveOccurred())
		if len(r.Keys) == 0 {
			return "", false
		}
		return string(r.Keys[0].Value), true
	}
	BeforeEach(func() {
		clock = store.NewManualClock(time.Unix(1_000, 0))
		e = store.NewEngine(clock)
	})

	It("applies all operations of a transaction at one revision, or none", func() {
		first := put("/a", "1", 0)
		ops := []store.Op{{Put: &store.Put{Key: "/a", Value: []byte("2")}}, {Put: &store.Put{Key: "/b", Value: []byte("2")}}}
		compare := func(revision int64) []store.Compare {
			return []store.Compare{
				{Key: "/a", Target: store.TargetMod, Relation: store.RelationEqual, Number: revision},
				{Key: "/b", Target: store.TargetMod, Relation: store.RelationEqual, Number: 0}}
		}
		r, err := e.Txn(store.Txn{Compare: compare(first + 1), Success: ops})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Succeeded).To(BeFalse())
		Expect(r.Revision).To(Equal(first), "a failed transaction makes no revision")
		r, err = e.Txn(store.Txn{Compare: compare(first), Success: ops})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Succeeded).To(BeTrue())
		both, _, _ := e.Range(store.Range{KeyRange: store.KeyRange{Key: "/", End: "0"}})
		Expect(both.Keys).To(HaveLen(2))
		Expect(both.Keys[0].ModRevision).To(Equal(first + 1))
		Expect(both.Keys[1].ModRevision).To(Equal(first + 1))
	})

	It("refuses a transaction that touches a key twice", func() {
		_, err := e.Txn(store.Txn{Success: []store.Op{{Put: &store.Put{Key: "/a"}}, {Delete: &store.KeyRange{Key: "/", End: "0"}}}})
		Expect(err).To(MatchError(store.ErrDuplicateKey))
	})

	It("ends a lease's keys when its time is over, and tells the watches", func() {
		id, _ := e.Grant(5 * time.Second)
		revision := put("/a", "1", id)
		watch := e.Watch(store.KeyRange{Key: "/a"}, revision+1)
		clock.Advance(4 * time.Second)
		Expect(e.KeepAlive(id)).To(Equal(5 * time.Second))
		clock.Advance(4 * time.Second)
		_, found := get("/a")
		Expect(found).To(BeTrue())
		clock.Advance(time.Second)
		events, _, err := watch.Next(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(1))
		Expect(events[0].Deleted).To(BeTrue())
		Expect(e.KeepAlive(id)).To(BeZero())
	})

	It("keeps a key that was stored again without the lease", func() {
		id, _ := e.Grant(time.Second)
		put("/a", "1", id)
		put("/a", "2", 0)
		Expect(e.Revoke(id)).To(Succeed())
		value, _ := get("/a")
		Expect(value).To(Equal("2"))
	})

	It("goes back to an older state and breaks the watches", func() {
		old := put("/a", "1", 0)
		put("/a", "2", 0)
		watch := e.Watch(store.KeyRange{Key: "/a"}, 0)
		Expect(e.Restore(old)).To(Succeed())
		value, _ := get("/a")
		Expect(value).To(Equal("1"))
		Expect(e.Revision()).To(Equal(old))
		_, _, err := watch.Next(context.Background(), nil)
		Expect(err).To(MatchError(store.ErrRestored))
	})

	It("refuses a watch from a forgotten revision", func() {
		old := put("/a", "1", 0)
		put("/a", "2", 0)
		e.Compact(old)
		_, revision, err := e.Watch(store.KeyRange{Key: "/a"}, old).Next(context.Background(), nil)
		Expect(err).To(MatchError(store.ErrCompacted))
		Expect(revision).To(Equal(old))
		events, _, err := e.Watch(store.KeyRange{Key: "/a"}, old+1).Next(context.Background(), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(events[0].Value)).To(Equal("2"))
	})

	It("shows the host list late by its lag", func() {
		hosts := store.NewHostList(e)
		hosts.SetLag(10 * time.Second)
		Expect(hosts.Set(store.Host{Addr: "10.0.0.1:5432", Zone: "kushiro", State: store.HostLeaving})).To(Succeed())
		clock.Advance(9 * time.Second)
		_, found := get("/platform/hosts/10.0.0.1:5432")
		Expect(found).To(BeFalse())
		clock.Advance(time.Second)
		value, _ := get("/platform/hosts/10.0.0.1:5432")
		Expect(value).To(MatchJSON(`{"addr":"10.0.0.1:5432","zone":"kushiro","state":"leaving"}`))
	})
})
