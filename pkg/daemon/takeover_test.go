package daemon_test

import (
	"context"
	"fmt"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/takeover"
	standintarget "limpetspan/standin/target"
)

const lotBuckets = 4

var _ = Describe("a take-over through daemons", func() {
	// Records move from one group to another while callers write them through a
	// daemon that is not the home of either. Each write must land on the side
	// that owns its bucket at that moment, and all must be there at the end.
	It("moves records while callers write them", func(ctx SpecContext) {
		w := newWorld(context.Background())
		ring := newGroup(context.Background(), "r")
		w.change(ctx, func(doc *config.Document) {
			doc.Groups = map[core.GroupID]*config.Group{"parkdb": doc.Groups["parkdb"], "ring": declaredGroup(ring)}
			doc.Kinds = map[string]*config.Kind{"ring-ddl": {Group: "ring"}, "lot": {Group: "parkdb", Versions: []string{"old", "new"}}}
		})
		a, b := w.start("a", "z1"), w.start("b", "z2")
		for _, d := range []*running{a, b} {
			Eventually(d.Ready).WithTimeout(bound).Should(Succeed())
		}
		conn := a.connect(ctx, "s")
		const table = "CREATE TABLE lot (id TEXT PRIMARY KEY, changed BIGINT, bucket INT, price TEXT)"
		for _, sql := range []string{table, "/*kind='ring-ddl'*/ " + table} {
			_, err := conn.Exec(ctx, sql)
			Expect(err).NotTo(HaveOccurred())
		}
		var changes atomic.Int64
		write := func(id int, price string) error {
			key := fmt.Sprint("k", id)
			_, err := conn.Exec(ctx, fmt.Sprintf("/*kind='lot',key='%s'*/ INSERT INTO lot (id, changed, bucket, price) VALUES ('%s', %d, %d, '%s') "+
				"ON CONFLICT (id) DO UPDATE SET changed = excluded.changed, price = excluded.price",
				key, key, changes.Add(1), config.Bucket(key, lotBuckets), price))
			return err
		}
		const records = 40
		for id := range records {
			Expect(write(id, "before")).To(Succeed())
		}
		w.change(ctx, func(doc *config.Document) { doc.Takeovers = map[string]*config.Takeover{"lot": lotTakeover()} })
		w.edit(ctx, takeover.SetState("lot", config.TakeoverRunning))
		moved := func() int {
			doc, err := w.editor.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			n := 0
			for bucket := range lotBuckets {
				if config.HasBit(doc.Takeovers["lot"].Flipped, bucket) {
					n++
				}
			}
			return n
		}
		round := 0
		Eventually(func(g Gomega) int {
			round++
			for id := range records {
				g.Expect(write(id, fmt.Sprint("round ", round))).To(Succeed())
			}
			return moved()
		}).WithTimeout(2 * bound).Should(Equal(lotBuckets))
		Expect(write(records, "after")).To(Succeed())
		var n int
		Expect(conn.QueryRow(ctx, "/*kind='ring-ddl'*/ SELECT count(*) FROM lot").Scan(&n)).To(Succeed())
		Expect(n).To(Equal(records + 1))
		Expect(conn.QueryRow(ctx, "/*kind='ring-ddl'*/ SELECT count(*) FROM lot WHERE price = 'before'").Scan(&n)).To(Succeed())
		Expect(n).To(BeZero())
	})
})

func lotTakeover() *config.Takeover {
	const read, changed = "SELECT id, changed, bucket, price FROM lot WHERE bucket = $1 AND id > $2 ORDER BY id LIMIT $3",
		"SELECT id, changed, bucket, price FROM lot WHERE bucket = $1 AND changed > $2 ORDER BY changed LIMIT $3"
	const upsert = "INSERT INTO lot(id, changed, bucket, price) VALUES($1, $2, $3, $4) ON CONFLICT (id) " +
		"DO UPDATE SET changed = excluded.changed, price = excluded.price"
	const verify = "SELECT count(*), coalesce(sum(changed), 0) FROM lot WHERE bucket = $1"
	const remove = "DELETE FROM lot WHERE bucket = $1"
	return &config.Takeover{State: config.TakeoverPlanned, SourceGroup: "parkdb", SourceVersion: "old",
		DestinationGroup: "ring", DestinationVersion: "new", Buckets: lotBuckets,
		ReadSQL: read, ChangedSQL: changed, UpsertSQL: upsert, SourceVerifySQL: verify, DestinationVerifySQL: verify, ClearSQL: remove,
		Reverse: &config.Reverse{ReadSQL: read, ChangedSQL: changed, UpsertSQL: upsert, ClearSQL: remove}}
}

// newGroup starts a group of three members whose ids begin with the prefix.
func newGroup(ctx context.Context, prefix string) *standintarget.Group {
	GinkgoHelper()
	var members []standintarget.MemberOptions
	for i := range 3 {
		members = append(members, standintarget.MemberOptions{
			ID: core.MemberID(fmt.Sprint(prefix, i+1)), Zone: core.Zone(fmt.Sprint("z", i+1)),
		})
	}
	group, err := standintarget.NewGroup(standintarget.Options{Members: members})
	Expect(err).NotTo(HaveOccurred())
	Expect(group.Start(ctx)).To(Succeed())
	DeferCleanup(group.Close)
	return group
}

func declaredGroup(group *standintarget.Group) *config.Group {
	declared := &config.Group{MaxConnections: 20, Slots: 3, Database: "db"}
	for _, m := range group.Members() {
		declared.Members = append(declared.Members, config.Member{ID: m.ID(), Addr: m.Addr(), Zone: m.Zone()})
	}
	return declared
}

// edit applies an operator's edit of the configuration.
func (w *world) edit(ctx context.Context, edit takeover.Edit) {
	GinkgoHelper()
	w.change(ctx, func(doc *config.Document) {
		next, err := edit(doc)
		Expect(err).NotTo(HaveOccurred())
		*doc = *next
	})
}
