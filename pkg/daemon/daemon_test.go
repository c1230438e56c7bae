package daemon_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/config"
)

var _ = Describe("a fleet of daemons", func() {
	It("serves callers through any daemon and reads their own writes", func(ctx SpecContext) {
		w := newWorld(context.Background())
		a, b, c := w.start("a", "z1"), w.start("b", "z2"), w.start("c", "z3")
		for _, d := range []*running{a, b, c} {
			Eventually(d.Ready).WithTimeout(bound).Should(Succeed())
		}
		writer := a.connect(ctx, "s")
		_, err := writer.Exec(ctx, "CREATE TABLE racks (id INTEGER PRIMARY KEY, bays INTEGER)")
		Expect(err).NotTo(HaveOccurred())
		for i, d := range []*running{a, b, c, a, b, c} {
			_, err := d.connect(ctx, "s").Exec(ctx, "INSERT INTO racks VALUES ($1, $2)", i, 10*i)
			Expect(err).NotTo(HaveOccurred())
			for _, other := range []*running{a, b, c} {
				var bays int
				Expect(other.connect(ctx, "s").QueryRow(ctx, "/*read='true'*/ SELECT bays FROM racks WHERE id = $1", i).Scan(&bays)).To(Succeed())
				Expect(bays).To(Equal(10 * i))
			}
		}
		Expect(len(a.Status(true).Fleet)).To(Equal(3))
	})

	It("brings an accepted configuration in force on every daemon", func(ctx SpecContext) {
		w := newWorld(context.Background())
		a, b := w.start("a", "z1"), w.start("b", "z2")
		Eventually(a.Ready).WithTimeout(bound).Should(Succeed())
		Eventually(b.Ready).WithTimeout(bound).Should(Succeed())
		revision := w.change(ctx, func(doc *config.Document) {
			doc.Kinds = map[string]*config.Kind{"rack": {Group: "parkdb", Versions: []string{"v2"}}}
		})
		for _, d := range []*running{a, b} {
			_, err := d.AwaitRevision(ctx, revision)
			Expect(err).NotTo(HaveOccurred())
			_, err = d.connect(ctx, "s").Exec(ctx, "/*kind='rack',version='v1'*/ SELECT 1")
			Expect(err).To(MatchError(ContainSubstring("in service: v2")))
		}
	})

	// An operator replaces a host. A rider's check-out is in the middle of its
	// transaction there, and the group's home is there too. The stop must wait for
	// the commit, and other callers must not be refused meanwhile.
	It("stops without cutting off a transaction and hands its homes over", func(ctx SpecContext) {
		w := newWorld(context.Background())
		a, b := w.start("a", "z1"), w.start("b", "z2")
		Eventually(a.Ready).WithTimeout(bound).Should(Succeed())
		Eventually(b.Ready).WithTimeout(bound).Should(Succeed())
		_, err := a.connect(ctx, "t").Exec(ctx, "CREATE TABLE racks (id INTEGER PRIMARY KEY)")
		Expect(err).NotTo(HaveOccurred())
		leaving, staying := a, b
		Eventually(func() int { return len(a.Status(false).Homes) + len(b.Status(false).Homes) }).WithTimeout(bound).Should(Equal(1))
		if len(b.Status(false).Homes) == 1 {
			leaving, staying = b, a
		}
		tx, err := leaving.connect(ctx, "u").Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "INSERT INTO racks VALUES (1)")
		Expect(err).NotTo(HaveOccurred())
		leaving.Drain()
		Eventually(leaving.Ready).WithTimeout(bound).ShouldNot(Succeed())
		_, err = tx.Exec(ctx, "INSERT INTO racks VALUES (2)")
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit(ctx)).To(Succeed())
		Eventually(leaving.done).WithTimeout(bound).Should(Receive(BeNil()))
		leaving.done <- nil
		var n int
		Expect(staying.connect(ctx, "u").QueryRow(ctx, "SELECT count(*) FROM racks").Scan(&n)).To(Succeed())
		Expect(n).To(Equal(2))
	})
})
