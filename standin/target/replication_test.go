package target_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/standin/target"
)

func lsn(g *target.Group, id core.MemberID) func() core.LSN {
	return func() core.LSN { return g.Member(id).Status().LSN }
}

func role(g *target.Group, id core.MemberID) func() core.Role {
	return func() core.Role { return g.Member(id).Status().Role }
}

var _ = Describe("replication", func() {
	ctx := context.Background()

	It("applies in order once the lag has passed, and nothing when stuck", func() {
		clock, options := newManualClock(), three()
		options.Clock = clock
		options.Members[2].Lag = target.Lag{Fixed: time.Second}
		g := start(options)
		conn := dial(g, "a", work)
		exec(conn, "CREATE TABLE t (id INTEGER, name TEXT)")
		exec(conn, "INSERT INTO t VALUES ($1, $2)", 1, "x")
		end := lsn(g, "a")()
		Eventually(lsn(g, "b")).Should(Equal(end))
		Expect(lsn(g, "c")()).To(BeZero())
		clock.Advance(time.Second)
		Eventually(lsn(g, "c")).Should(Equal(end))
		Expect(query[string](dial(g, "c", work), "SELECT name FROM t WHERE id = $1", 1)).To(Equal("x"))

		Expect(g.Faults().SetLag("c", target.Lag{Stuck: true})).To(Succeed())
		exec(conn, "INSERT INTO t VALUES (2, 'y')")
		clock.Advance(time.Hour)
		Eventually(lsn(g, "b")).Should(BeNumerically(">", end))
		Expect(lsn(g, "c")()).To(Equal(end))
		Expect(g.Faults().SetLag("c", target.Lag{})).To(Succeed())
		Eventually(lsn(g, "c")).Should(Equal(lsn(g, "a")()))
		var logTerm, at int64
		Expect(conn.QueryRow(ctx, "SELECT * FROM limpetspan_position()").Scan(&logTerm, &at)).To(Succeed())
		Expect([]int64{logTerm, at}).To(Equal([]int64{int64(target.FirstTerm), int64(lsn(g, "a")())}))
	})

	It("keeps the order when a spike delays an earlier record", func() {
		clock, options := newManualClock(), three()
		options.Clock = clock
		options.Members[1].Lag = target.Lag{Spike: 5 * time.Second, SpikeEvery: 10 * time.Second, SpikeLength: time.Second}
		g := start(options)
		conn := dial(g, "a", work)
		exec(conn, "CREATE TABLE t (id INTEGER)")
		clock.Advance(2 * time.Second)
		exec(conn, "INSERT INTO t VALUES (1)")
		Eventually(lsn(g, "c")).Should(Equal(lsn(g, "a")()))
		Expect(lsn(g, "b")()).To(BeZero())
		clock.Advance(3 * time.Second)
		Eventually(lsn(g, "b")).Should(Equal(lsn(g, "a")()))
	})

	It("rewinds an old primary that comes back", func() {
		// A gate's check-out is acknowledged by a primary that is cut off from
		// the others. They get a new primary. When the old one comes back it
		// must drop that write, or it would show what the group has lost.
		g := start(three())
		old := dial(g, "a", work)
		exec(old, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
		Eventually(lsn(g, "c")).Should(Equal(lsn(g, "a")()))
		Eventually(lsn(g, "b")).Should(Equal(lsn(g, "a")()))
		Expect(g.Faults().Partition("a", target.Partition{Members: true})).To(Succeed())
		exec(old, "INSERT INTO t VALUES (1)")
		for _, id := range []core.MemberID{"b", "c"} {
			exec(dial(g, id, controlling), "SELECT * FROM limpetspan_fence(3)")
		}
		exec(dial(g, "b", controlling), "SELECT * FROM limpetspan_promote(4)")
		exec(dial(g, "b", work), "INSERT INTO t VALUES (2)")
		Eventually(lsn(g, "c")).Should(Equal(lsn(g, "b")()))
		Expect(g.Member("c").Status().Term).To(BeEquivalentTo(4))
		Expect(g.Member("a").Status().Term).To(BeEquivalentTo(2))

		Expect(g.Faults().Heal("a")).To(Succeed())
		Eventually(role(g, "a")).Should(Equal(core.RoleReplica))
		Eventually(func() []*target.Record { return g.Member("a").Log() }).Should(Equal(g.Member("b").Log()))
		Expect(g.Member("a").Status().History).To(Equal(g.Member("b").Status().History))
		Expect(state(old, "SELECT id FROM t")).To(Equal("57P01"))
		Expect(query[int](dial(g, "a", work), "SELECT sum(id) FROM t")).To(Equal(2))
		lost := g.Journal().Match(func(s target.Statement) bool { return s.SQL == "INSERT INTO t VALUES (1)" })
		Expect(lost).To(HaveLen(1))
		Expect(lost[0].Primary).To(Equal(core.MemberID("a")))
	})

	It("does not attach a member fenced at a higher term", func() {
		g := start(three())
		exec(dial(g, "c", controlling), "SELECT * FROM limpetspan_fence(3)")
		exec(dial(g, "a", work), "CREATE TABLE t (id INTEGER)")
		Eventually(lsn(g, "b")).Should(Equal(lsn(g, "a")()))
		Expect(lsn(g, "c")()).To(BeZero())
		exec(dial(g, "a", controlling), "SELECT * FROM limpetspan_promote(4)")
		Eventually(lsn(g, "c")).Should(Equal(lsn(g, "a")()))
	})
})
