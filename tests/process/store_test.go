package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/store"
)

// inForceBound is how soon an accepted configuration is in force everywhere.
const inForceBound = 8 * time.Second

var _ = Describe("The store", func() {
	// Gates stay locked because the store is down when a primary fails, and a
	// host that is replaced meanwhile never begins to serve. Neither needs the
	// store: terms decide the failover, and peers have the configuration.
	It("may be down during a failover and the start of a daemon", func(ctx SpecContext) {
		f := newFleet()
		l := startLoad(6, f.live)
		l.awaitProgress(5)
		revision := currentRevision(f)
		f.storeFault("/store/outage", `{"on":true,"mode":"silent"}`)
		old := f.primary()
		f.memberFault("crash", old.ID, "")
		l.awaitProgress(5)
		Expect(f.primary().ID).NotTo(Equal(old.ID))

		started, err := f.startDaemon(ctx)
		Expect(err).NotTo(HaveOccurred())
		Eventually(started.revision).Should(Equal(revision))
		Eventually(started.ready).Should(Succeed())
		// The load goes through it, too.
		l.awaitProgress(10)
		f.storeFault("/store/outage", `{"on":false}`)
		f.memberFault("restart", old.ID, "")
		l.awaitProgress(5)
		l.stop()
		l.verify(ctx, started)
	})

	// Two operators edit the same revision at a desk each. If both succeed, one
	// change is undone without anybody noticing; the loser has to see what the
	// winner did.
	It("lets one of two racing operators win and shows the other the change", func() {
		f := newFleet()
		watch := watchRevisions(f)
		file := f.operate("config", "get").stdout
		edits := map[string]string{
			"max_connections": strings.Replace(file, "max_connections = 20", "max_connections = 19", 1),
			"slots":           strings.Replace(file, "slots = 3", "slots = 2", 1),
		}
		results := make(map[string]result)
		var mu sync.Mutex
		var both sync.WaitGroup
		for name, text := range edits {
			Expect(text).NotTo(Equal(file))
			Expect(os.WriteFile(f.path(name), []byte(text), 0o600)).To(Succeed())
			both.Go(func() {
				r := f.operate("config", "apply", f.path(name), "--json")
				mu.Lock()
				defer mu.Unlock()
				results[name] = r
			})
		}
		both.Wait()
		winner, loser := "slots", "max_connections"
		if results[winner].code != 0 {
			winner, loser = loser, winner
		}
		Expect(results[winner].code).To(BeZero(), "%v", results)
		Expect(results[loser].code).To(Equal(3), "%v", results)
		var conflict struct {
			Revision   uint64          `json:"revision"`
			Difference json.RawMessage `json:"difference"`
		}
		Expect(json.Unmarshal([]byte(results[loser].stdout), &conflict)).To(Succeed(), results[loser].stdout)
		Expect(string(conflict.Difference)).To(ContainSubstring(fmt.Sprintf(`"%s":%s`, winner, map[string]string{"slots": "2", "max_connections": "19"}[winner])))
		awaitRevision(f, conflict.Revision)
		watch()
	})

	// The operator sees an error although the change is in force, and applies
	// it a second time over somebody else's. The store's answer was lost after
	// the change had taken effect.
	It("may lose the answer of a change, which is settled", func() {
		f := newFleet()
		watch := watchRevisions(f)
		before := currentRevision(f)
		f.storeFault("/store/lose", `{"count":1,"kinds":["txn"]}`)
		r := f.operate("drain", "target", groupID, string(f.replica().ID), "--json")
		Expect(r.code).To(BeZero(), r.stderr)
		var accepted struct{ Revision uint64 }
		Expect(json.Unmarshal([]byte(r.stdout), &accepted)).To(Succeed())
		Expect(accepted.Revision).To(Equal(before + 1))
		awaitRevision(f, accepted.Revision)
		watch()
	})

	// After a restore of the store's backup, daemons route by groups of last
	// week, or a change that an operator makes at that moment is accepted and
	// then gone. Daemons keep what is in force and write it back; until then
	// the operator, who names a daemon, is refused.
	It("may be restored to an older state, and no daemon goes back", func() {
		f := newFleet()
		watch := watchRevisions(f)
		var old struct{ Revision int64 }
		Expect(inject(f.storeControl, "/store/counts", "{}", &old)).To(Succeed())
		leaving := string(f.replica().ID)
		Expect(f.operate("drain", "target", groupID, leaving).code).To(BeZero())
		accepted := currentRevision(f)
		awaitRevision(f, accepted)
		f.storeFault("/store/restore", fmt.Sprintf(`{"revision":%d}`, old.Revision))

		var r result
		Eventually(func() int {
			r = f.operate("drain", "target", groupID, leaving, "--undo", "--json", "--daemon", f.live()[0].Operator)
			return r.code
		}).Should(BeZero(), func() string { return r.stderr })
		var next struct {
			Revision uint64
			Changed  bool
		}
		Expect(json.Unmarshal([]byte(r.stdout), &next)).To(Succeed())
		Expect(next.Revision).To(BeNumerically(">", accepted), r.stdout)
		Expect(next.Changed).To(BeTrue())
		awaitRevision(f, next.Revision)
		watch()
	})
})

// currentRevision is the revision in the store.
func currentRevision(f *fleet) uint64 {
	GinkgoHelper()
	r := f.operate("config", "get", "--json")
	Expect(r.code).To(BeZero(), r.stderr)
	var doc struct{ Revision uint64 }
	Expect(json.Unmarshal([]byte(r.stdout), &doc)).To(Succeed())
	return doc.Revision
}

// awaitRevision waits until each daemon has the revision in force.
func awaitRevision(f *fleet, revision uint64) {
	GinkgoHelper()
	for _, d := range f.live() {
		Eventually(d.revision).WithTimeout(inForceBound).Should(BeNumerically(">=", revision), d.ID)
	}
}

// watchRevisions looks at the revision of each daemon until the returned
// function is called, which expects that none went back.
func watchRevisions(f *fleet) func() {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	var wentBack []string
	done := make(chan struct{})
	go func() {
		defer close(done)
		highest := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, d := range f.live() {
				now, err := d.revision()
				if err == nil && now < highest[d.ID] {
					wentBack = append(wentBack, fmt.Sprintf("%s went from %d to %d", d.ID, highest[d.ID], now))
				}
				highest[d.ID] = max(highest[d.ID], now)
			}
			time.Sleep(pollInterval)
		}
	}()
	return func() {
		GinkgoHelper()
		cancel()
		<-done
		Expect(wentBack).To(BeEmpty())
	}
}

func (f *fleet) storeClient() (*store.Client, error) {
	return store.NewClient(store.Options{Endpoints: []string{f.storeURL}})
}

func shortContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), connectBound)
}
