package confstore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/store/storetest"
	standin "limpetspan/standin/store"
)

var _ = Describe("Editor", func() {
	var (
		ctx  context.Context
		fake *storetest.Fake
		ann  *confstore.Editor
		bob  *confstore.Editor
	)
	BeforeEach(func() {
		ctx, fake = testContext(), storetest.New()
		ann, bob = newEditor(fake, "ann"), newEditor(fake, "bob")
	})

	It("reads back what it committed, in four calls for one entry", func() {
		first := mustAdd(ctx, ann, "g1", 5001)
		reads, writes := ann.Calls().Reads.Load(), ann.Calls().Writes.Load()
		second, err := ann.Update(ctx, first, confstore.Meta{Author: "ann", Reason: "more"}, addGroup("g2", 5002))
		Expect(err).NotTo(HaveOccurred())
		// The head for Update, the head for the swap, the entry and the slot.
		Expect(ann.Calls().Reads.Load() - reads).To(BeEquivalentTo(4))
		Expect(ann.Calls().Writes.Load() - writes).To(BeEquivalentTo(1))
		loaded, err := bob.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		rest := config.Diff(loaded, second)
		Expect(rest.IsEmpty()).To(BeTrue())
		Expect(loaded.Revision).To(BeEquivalentTo(2))
		Expect(loaded.ChangeID).To(Equal("ann-2"))
		Expect(loaded.Reason).To(Equal("more"))
	})

	It("refuses what is wrong, empty or too much before it writes", func() {
		base := mustAdd(ctx, ann, "g1", 5001)
		bad := *base
		bad.DefaultGroup = "none"
		_, err := ann.Commit(ctx, base, &bad, confstore.Meta{})
		Expect(err).To(BeAssignableToTypeOf(config.Problems{}))
		_, err = ann.Commit(ctx, base, base, confstore.Meta{})
		Expect(err).To(MatchError(confstore.ErrNoChange))
		many := *base
		many.Groups = maps.Clone(base.Groups)
		for i := range confstore.MaxEntries + 1 {
			many.Groups[core.GroupID(fmt.Sprintf("x%d", i))] = base.Groups["g1"]
		}
		_, err = ann.Commit(ctx, base, &many, confstore.Meta{})
		Expect(err).To(MatchError(confstore.ErrTooManyEntries))
		Expect(ann.Calls().Writes.Load()).To(BeEquivalentTo(1))
	})

	It("commits as many entries as one change may have", func() {
		doc := config.EmptyDocument()
		for i := range confstore.MaxEntries {
			doc, _ = addGroup(core.GroupID(fmt.Sprintf("g%d", i)), 5000+i)(doc)
		}
		_, err := ann.Commit(ctx, config.EmptyDocument(), doc, confstore.Meta{})
		Expect(err).NotTo(HaveOccurred())
		loaded, err := bob.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Groups).To(HaveLen(confstore.MaxEntries))
	})

	// Story: two operators read revision 1. Ann adds g2; Bob, who has not seen
	// it, adds g3. Without the guard on head Bob's revision 2 would replace
	// Ann's, and half of the fleet would have one and half the other.
	It("shows the loser of a race what the winner changed", func() {
		base := mustAdd(ctx, ann, "g1", 5001)
		mine, _ := addGroup("g2", 5002)(base)
		_, err := ann.Commit(ctx, base, mine, confstore.Meta{Author: "ann", Reason: "second hall"})
		Expect(err).NotTo(HaveOccurred())
		theirs, _ := addGroup("g3", 5003)(base)
		_, err = bob.Commit(ctx, base, theirs, confstore.Meta{Author: "bob"})
		conflict, ok := errors.AsType[*confstore.Conflict](err)
		Expect(ok).To(BeTrue())
		Expect(conflict.Current.Revision).To(BeEquivalentTo(2))
		Expect(conflict.Winners).To(HaveLen(1))
		Expect(err.Error()).To(And(ContainSubstring("revision 2 by ann"), ContainSubstring("second hall"), ContainSubstring("+ group g2")))
		// Update begins again from the winner's document.
		doc, err := bob.Update(ctx, base, confstore.Meta{}, addGroup("g3", 5003))
		Expect(err).NotTo(HaveOccurred())
		Expect(doc.Groups).To(And(HaveKey(core.GroupID("g2")), HaveKey(core.GroupID("g3"))))
	})

	// Story: an operator's change takes effect, but the store's answer is lost.
	// A blind retry would meet the raised guard and report a conflict with
	// itself; reporting failure would let the operator apply it twice.
	It("finds its own change after a lost answer", func() {
		base := mustAdd(ctx, ann, "g1", 5001)
		fake.Server.LoseAnswers(1, standin.KindTxn)
		after, _ := addGroup("g2", 5002)(base)
		doc, err := ann.Commit(ctx, base, after, confstore.Meta{})
		Expect(err).NotTo(HaveOccurred())
		Expect(doc.Revision).To(BeEquivalentTo(2))
		Expect(bob.Load(ctx)).To(HaveField("ChangeID", doc.ChangeID))
	})

	// Story: as before, but while Ann cannot read the store two more changes
	// follow hers, so that head carries another id than hers. Head alone would
	// make it look as if she had lost.
	It("finds its own change behind later ones", func() {
		base := mustAdd(ctx, ann, "g1", 5001)
		fake.Server.LoseAnswers(1, standin.KindTxn)
		lostOnce := false
		after, _ := addGroup("g2", 5002)(base)
		store := &interceptingStore{Fake: fake, afterLost: func() {
			lostOnce = true
			mustAdd(ctx, bob, "g3", 5003)
			mustAdd(ctx, bob, "g4", 5004)
		}}
		editor := confstore.NewEditor(store, prefix)
		editor.Retry = time.Millisecond
		doc, err := editor.Commit(ctx, base, after, confstore.Meta{})
		Expect(err).NotTo(HaveOccurred())
		Expect(lostOnce).To(BeTrue())
		Expect(doc.Revision).To(BeEquivalentTo(2))
	})

	// Story: the answer is lost and the store stays silent past the deadline.
	// Saying "failed" would be a guess; so would saying "done".
	It("says that a change is unsettled when it cannot be read back", func() {
		base := mustAdd(ctx, ann, "g1", 5001)
		store := &interceptingStore{Fake: fake, afterLost: func() { _ = fake.Server.SetOutage(standin.OutageDrop) }}
		fake.Server.LoseAnswers(1, standin.KindTxn)
		editor := confstore.NewEditor(store, prefix)
		editor.Retry = time.Millisecond
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		after, _ := addGroup("g2", 5002)(base)
		_, err := editor.Commit(short, base, after, confstore.Meta{})
		unsettled, ok := errors.AsType[*confstore.UnsettledError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(unsettled.Revision).To(BeEquivalentTo(2))
	})

	It("fails at once when nothing was sent", func() {
		_ = fake.Server.SetOutage(standin.OutageDrop)
		_, err := ann.Update(ctx, config.EmptyDocument(), confstore.Meta{}, addGroup("g1", 5001))
		Expect(err).To(HaveOccurred())
		_, isUnsettled := errors.AsType[*confstore.UnsettledError](err)
		Expect(isUnsettled).To(BeFalse())
	})

	It("keeps a bounded history and goes back in it", func() {
		mustAdd(ctx, ann, "g1", 5001)
		second := mustAdd(ctx, ann, "g2", 5002)
		removed := *second
		removed.Groups = maps.Clone(second.Groups)
		delete(removed.Groups, "g1")
		third, err := ann.Commit(ctx, second, &removed, confstore.Meta{Reason: "g1 is gone"})
		Expect(err).NotTo(HaveOccurred())
		history, err := bob.History(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(2))
		Expect(history[0].Change.Reason).To(Equal("g1 is gone"))
		for revision, groups := range []int{0, 1, 2, 1} {
			doc, err := bob.At(ctx, third, config.Revision(revision))
			Expect(err).NotTo(HaveOccurred())
			Expect(doc.Groups).To(HaveLen(groups), "revision %d", revision)
		}
		_, err = bob.At(ctx, third, 4)
		Expect(err).To(MatchError(confstore.ErrNotKept))
	})

	It("refuses to build on a store that is behind", func() {
		base := mustAdd(ctx, ann, "g1", 5001)
		newer := *base
		newer.Revision, newer.ChangeID = 9, "in force"
		_, err := ann.Update(ctx, &newer, confstore.Meta{}, addGroup("g2", 5002))
		Expect(err).To(MatchError(confstore.ErrStoreBehind))
	})
})
