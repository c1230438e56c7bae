package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/mirror"
)

func TestMirror(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

func at(era, revision int) mirror.Position {
	return mirror.Position{Era: mirror.Era(era), Revision: mirror.Revision(revision)}
}

func item(key string, revision int) mirror.Item {
	return mirror.Item{Key: key, Value: []byte(fmt.Sprintf("%s at %d", key, revision)), Revision: mirror.Revision(revision)}
}

func deleted(key string, revision int) mirror.Item {
	return mirror.Item{Key: key, Revision: mirror.Revision(revision), Deleted: true}
}

func keys(items []mirror.Item) (list []string) {
	for _, i := range items {
		list = append(list, fmt.Sprintf("%s %d %v", i.Key, i.Revision, i.Deleted))
	}
	return list
}

var _ = Describe("a copy of the store", func() {
	It("returns what a list has changed", func() {
		m := mirror.New()
		Expect(m.Replace(at(1, 5), []mirror.Item{item("a", 1), item("b", 2)})).To(HaveLen(2))
		changed, err := m.Replace(at(1, 9), []mirror.Item{item("a", 1), item("c", 8)})
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(changed)).To(Equal([]string{"c 8 false", "b 9 true"}))
	})

	// Guards against a list whose pages are not one snapshot: the watch that continues from the
	// revision of the first page returns changes again that later pages already contain.
	It("ignores events that the list already contains", func() {
		m := mirror.New()
		_, err := m.Replace(at(1, 10), []mirror.Item{item("a", 3), item("z", 14)})
		Expect(err).NotTo(HaveOccurred())
		changed, err := m.Apply(at(1, 15), []mirror.Item{item("z", 12), deleted("z", 13), item("z", 14), deleted("y", 15)})
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(BeEmpty())
		Expect(keys(m.All())).To(Equal([]string{"a 3 false", "z 14 false"}))
	})

	It("applies several changes of one key in one batch", func() {
		m := mirror.New()
		_, _ = m.Replace(at(1, 1), []mirror.Item{item("a", 1)})
		changed, err := m.Apply(at(1, 5), []mirror.Item{deleted("a", 2), item("a", 3), item("b", 4), deleted("b", 5)})
		Expect(err).NotTo(HaveOccurred())
		Expect(changed).To(HaveLen(4))
		Expect(keys(m.All())).To(Equal([]string{"a 3 false"}))
	})

	// Guards against going back when a daemon switches to a source that is behind the previous one.
	It("rejects a source that is behind", func() {
		m := mirror.New()
		_, _ = m.Replace(at(1, 10), []mirror.Item{item("a", 9)})
		_, err := m.Replace(at(1, 8), nil)
		Expect(err).To(MatchError(mirror.ErrBehind))
		_, err = m.Apply(at(1, 9), []mirror.Item{deleted("a", 11)})
		Expect(err).To(MatchError(mirror.ErrBehind))
		Expect(m.All()).To(HaveLen(1))
	})

	// Guards against a store that was restored from an older copy: its revisions are lower than
	// before, or belong to other changes.
	It("accepts a new era only by a list, whatever its revisions are", func() {
		m := mirror.New()
		_, _ = m.Replace(at(1, 10), []mirror.Item{item("a", 9), item("b", 4)})
		_, err := m.Apply(at(2, 20), []mirror.Item{item("a", 20)})
		Expect(err).To(MatchError(mirror.ErrOtherEra))
		changed, err := m.Replace(at(2, 7), []mirror.Item{item("a", 6), item("b", 4)})
		Expect(err).NotTo(HaveOccurred())
		Expect(keys(changed)).To(Equal([]string{"a 6 false"}))
		_, err = m.Replace(at(1, 11), nil)
		Expect(err).To(MatchError(mirror.ErrBehind), "a late response of the old era")
	})

	// Guards against followers that miss changes, over lists, batches and eras.
	It("brings a follower to the same state, by changes or by a full copy", func() {
		random := rand.New(rand.NewPCG(3, 3))
		m, f := mirror.New(), mirror.New()
		next, position := uint64(0), at(1, 1)
		copyAll := func() {
			_, err := f.Replace(m.Position(), m.All())
			Expect(err).NotTo(HaveOccurred())
			next = m.NextChange()
		}
		state := make(map[string]mirror.Item)
		_, err := m.Replace(position, nil)
		Expect(err).NotTo(HaveOccurred())
		for range 3000 {
			position.Revision++
			key := fmt.Sprint(random.IntN(20))
			event := item(key, int(position.Revision))
			if _, ok := state[key]; ok && random.IntN(3) == 0 {
				event = deleted(key, int(position.Revision))
				delete(state, key)
			} else {
				state[key] = event
			}
			if random.IntN(10) == 0 {
				var all []mirror.Item
				for _, i := range state {
					all = append(all, i)
				}
				if random.IntN(5) == 0 {
					position.Era++
				}
				_, err := m.Replace(position, all)
				Expect(err).NotTo(HaveOccurred())
			} else {
				_, err := m.Apply(position, []mirror.Item{event})
				Expect(err).NotTo(HaveOccurred())
			}
			if random.IntN(4) > 0 {
				continue
			}
			changes, ok := m.Changes(next)
			if !ok || f.Position().Era != m.Position().Era {
				copyAll()
			} else {
				_, err := f.Apply(m.Position(), changes)
				Expect(err).NotTo(HaveOccurred())
				next = m.NextChange()
			}
			Expect(f.All()).To(Equal(m.All()))
		}
	})

	It("keeps a bounded number of changes", func() {
		m := mirror.New()
		_, _ = m.Replace(at(1, 1), nil)
		for i := range 10_000 {
			_, _ = m.Apply(at(1, 2+i), []mirror.Item{item("a", 2+i)})
		}
		_, ok := m.Changes(0)
		Expect(ok).To(BeFalse())
		changes, ok := m.Changes(m.NextChange() - 3)
		Expect(ok).To(BeTrue())
		Expect(changes).To(HaveLen(3))
	})
})

var _ = Describe("a fencing token", func() {
	// Guards against a promotion with a lower token than one that was requested before the store
	// was restored from an older copy.
	It("rises from era to era, and identifies its write", func() {
		last := uint64(0)
		for _, p := range []mirror.Position{at(0, 7), at(0, 900), at(1, 3), at(1, 4), at(2, 1), at(4000, 1<<39)} {
			token, err := p.Token()
			Expect(err).NotTo(HaveOccurred())
			Expect(token).To(BeNumerically(">", last))
			Expect(mirror.TokenPosition(token)).To(Equal(p))
			last = token
		}
		_, err := at(1<<13, 1).Token()
		Expect(err).To(HaveOccurred())
		_, err = at(1, 1<<40).Token()
		Expect(err).To(HaveOccurred())
	})
})
