package takeover_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/config"
)

// A transaction has written a record when the hold of its bucket is asked for,
// writes it again meanwhile and commits. A flip that did not wait for it would
// leave both writes behind at the source, acknowledged.
func withRacingWrites() {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	r := &racer{w: w, numbers: make(map[string]int64)}
	w.steps.at("hold", r.race)
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	w.awaitState(config.TakeoverComplete)
	r.group.Wait()
	w.finish()
	Expect(r.committed).To(BeNumerically(">", 0))
}

// holdOpen is how long the transaction stays open, within the hold's limit.
const holdOpen = 100 * time.Millisecond

// racer opens a transaction before each hold and ends it within.
type racer struct {
	w         *world
	group     sync.WaitGroup
	numbers   map[string]int64
	committed int
	daemon    int
}

// race is called before the hold is asked for.
func (r *racer) race(line logLine) {
	defer GinkgoRecover()
	r.group.Wait()
	r.w.steps.at("hold", r.race)
	key := keyIn(line.Buckets)
	r.daemon++
	live := r.w.daemons()
	conn, err := dial(r.w.ctx, r.w.fleet.URL(live[r.daemon%len(live)]), "racer")
	Expect(err).NotTo(HaveOccurred())
	first := r.next(key)
	if exec(r.w.ctx, conn, begin(key)) != nil || exec(r.w.ctx, conn, first.sql()) != nil {
		r.w.ledger.wrote(first, notRun)
		_ = conn.Close(r.w.ctx)
		return
	}
	sealing := r.w.steps.next("seal")
	r.group.Go(func() {
		defer conn.Close(r.w.ctx)
		// A hold that does not wait for the transaction gets as far as the seal.
		select {
		case <-sealing:
		case <-time.After(holdOpen):
		}
		r.end(conn, first)
	})
}

// end writes once more and commits.
func (r *racer) end(conn *pgx.Conn, first write) {
	second := r.next(first.key)
	told := notRun
	if exec(r.w.ctx, conn, second.sql()) == nil {
		told = commit(r.w.ctx, conn, first.key)
	}
	r.w.ledger.wrote(first, told)
	r.w.ledger.wrote(second, told)
	if told == acknowledged {
		r.committed++
	}
}

func (r *racer) next(key string) write {
	r.numbers[key]++
	return write{key, r.numbers[key]}
}

func begin(key string) string { return fmt.Sprintf("/*kind='%s',key='%s'*/ BEGIN", kind, key) }

func commit(ctx context.Context, conn *pgx.Conn, key string) outcome {
	var tag pgconn.CommandTag
	tag, err := conn.Exec(ctx, fmt.Sprintf("/*kind='%s',key='%s'*/ COMMIT", kind, key))
	if err == nil && tag.String() != "COMMIT" {
		return notRun
	}
	return outcomeOf(err)
}

func exec(ctx context.Context, conn *pgx.Conn, sql string) error {
	_, err := conn.Exec(ctx, sql)
	return err
}

// keyIn returns a record of one of the buckets that no caller writes.
func keyIn(list []int) string {
	for i := (callerCount + 1) * keysPerCaller; i < records; i++ {
		if slices.Contains(list, config.Bucket(recordKey(i), buckets)) {
			return recordKey(i)
		}
	}
	return ""
}
