package process_test

import (
	"context"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A daemon that is killed", func() {
	// Half of a settlement stays behind, or the next caller's charge vanishes
	// in a stranger's transaction. The daemon dies while a transaction is open,
	// and its connection to the primary has uncommitted work on it.
	DescribeTable("in the middle of a transaction leaves nothing of it behind",
		func(ctx SpecContext, which func(*fleet) *daemon) {
			f := newFleet()
			victim := which(f)
			left := f.others(victim)
			conn := victim.mustConnect(ctx, "settlement")
			_, err := conn.Exec(ctx, "BEGIN")
			Expect(err).NotTo(HaveOccurred())
			_, err = conn.Exec(ctx, insertSQL, "abandoned", "settlement", 1)
			Expect(err).NotTo(HaveOccurred())

			// These wait behind the open transaction, as the stand-in runs one
			// write transaction at a time.
			l := startLoad(6, func() []*daemon { return left })
			victim.kill()
			l.awaitProgress(10)
			l.stop()
			l.verify(ctx, left[0])
			Expect(countWrites(ctx, left[0], "abandoned")).To(BeZero())
		},
		Entry("as entry", notHome),
		Entry("as home", isHome),
	)

	// A winter's charge is made twice, or the desk never learns whether it was
	// made. The daemon dies with the statement on its way, and the caller asks
	// again through another one.
	DescribeTable("before the answer to a must-not-repeat statement lets it run once",
		func(ctx SpecContext, which func(*fleet) *daemon) {
			f := newFleet()
			victim := which(f)
			left := f.others(victim)
			const charges = 40
			answered := make(chan struct{}, charges)
			var asked sync.WaitGroup
			for i := range charges {
				conn := victim.mustConnect(ctx, "")
				asked.Go(func() {
					if err := charge(ctx, conn, i); err == nil {
						answered <- struct{}{}
					}
				})
			}
			// With the first answers some charges have run, some run, and some
			// wait for a slot.
			for range 3 {
				Eventually(answered).Should(Receive())
			}
			victim.kill()
			asked.Wait()
			Expect(len(answered)).To(BeNumerically("<", charges-3), "all were answered before the end")

			for i := range charges {
				Eventually(func() error {
					return charge(ctx, left[i%2].mustConnect(ctx, ""), i)
				}).Should(Succeed())
			}
			for i := range charges {
				Expect(countWrites(ctx, left[0], chargeID(i))).To(Equal(1), chargeID(i))
			}
		},
		Entry("as entry", notHome),
		Entry("as home", isHome),
	)
})

func isHome(f *fleet) *daemon {
	GinkgoHelper()
	return home(f.live())
}

func notHome(f *fleet) *daemon {
	GinkgoHelper()
	return f.others(home(f.live()))[0]
}

func chargeID(i int) string { return fmt.Sprint("charge-", i) }

// charge runs a statement with a must-not-repeat key and expects its outcome.
func charge(ctx context.Context, conn *pgx.Conn, i int) error {
	tag, err := conn.Exec(ctx, fmt.Sprintf("/*once='%s'*/ INSERT INTO writes VALUES ($1, $2, $3)", chargeID(i)), chargeID(i), "fines", i)
	if err != nil {
		return err
	}
	if tag.String() != "INSERT 0 1" {
		return fmt.Errorf("%s: outcome %q", chargeID(i), tag)
	}
	return nil
}

// countWrites counts the rows with the id, as the primary has them.
func countWrites(ctx context.Context, d *daemon, id string) int {
	GinkgoHelper()
	n := -1
	Expect(d.mustConnect(ctx, "").QueryRow(ctx, "SELECT count(*) FROM writes WHERE id = $1", id).Scan(&n)).To(Succeed())
	return n
}
