package confstore_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/store/storetest"
	standin "limpetspan/standin/store"
)

// outcomes are the change ids that editors were told of.
type outcomes struct {
	mu                           sync.Mutex
	accepted, refused, unsettled map[string]bool
}

func (o *outcomes) note(id string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.accepted[id] = true
		return
	}
	if _, ok := errors.AsType[*confstore.UnsettledError](err); ok {
		o.unsettled[id] = true
		return
	}
	o.refused[id] = true
}

var _ = Describe("Editors that race", func() {
	// Story: several operators and take-over workers change the configuration
	// at once while the store loses answers again and again. If one of them is
	// told "accepted" for a change that was lost, or "conflict" for one that
	// took effect, the fleet has something in force that nobody wants.
	It("learn what became of each change, whatever answers are lost", func() {
		const editors, rounds = 6, 12
		fake := storetest.New()
		ctx := testContext()
		told := &outcomes{accepted: map[string]bool{}, refused: map[string]bool{}, unsettled: map[string]bool{}}
		watcher := follow(confstore.Options{Store: fake.Client})
		var wg sync.WaitGroup
		for e := range editors {
			wg.Go(func() {
				defer GinkgoRecover()
				random := rand.New(rand.NewPCG(uint64(GinkgoRandomSeed()), uint64(e)))
				editor := confstore.NewEditor(fake.Client, prefix)
				editor.Retry = time.Millisecond
				for r := range rounds {
					id := fmt.Sprintf("e%d-%d", e, r)
					editor.NewID = func() string { return id }
					if random.IntN(2) == 0 {
						fake.Server.LoseAnswers(1, standin.KindTxn)
					}
					base, err := editor.Load(ctx)
					if err != nil {
						continue
					}
					after, _ := addGroup(core.GroupID(id), 1024+e*100+r)(base)
					_, err = editor.Commit(ctx, base, after, confstore.Meta{Author: id})
					told.note(id, err)
				}
			})
		}
		wg.Wait()

		doc, err := newEditor(fake, "reader").Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		records, err := newEditor(fake, "reader").History(ctx, editors*rounds)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(int(doc.Revision)))
		Expect(told.unsettled).To(BeEmpty())
		Expect(told.accepted).To(HaveLen(int(doc.Revision)))
		Expect(doc.Groups).To(HaveLen(int(doc.Revision)))
		for _, record := range records {
			Expect(told.accepted).To(HaveKey(record.Change.ChangeID))
			Expect(doc.Groups).To(HaveKey(core.GroupID(record.Change.ChangeID)))
		}
		Eventually(watcher.Current, bound).Should(HaveField("Revision", doc.Revision))
		rest := config.Diff(watcher.Current(), doc)
		Expect(rest.IsEmpty()).To(BeTrue())
	})
})
