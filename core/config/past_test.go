package config_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
)

var _ = Describe("the past of a document", func() {
	g := func(slots int) map[core.GroupID]*config.Group {
		return map[core.GroupID]*config.Group{"g": {Slots: slots}}
	}
	// past is that of a document made by changes a, b, c and d.
	past := func(changes ...*config.Change) *config.Past {
		p := &config.Past{Revision: 4, ChangeID: "d", Changes: make(map[config.Revision]*config.Change)}
		for i, c := range changes {
			if c == nil {
				continue
			}
			c.Revision, c.ChangeID = config.Revision(i+1), string(rune('a'+i))
			if i > 0 && c.Parent == "" {
				c.Parent = string(rune('a' + i - 1))
			}
			p.Changes[c.Revision] = c
		}
		return p
	}
	none := func() *config.Change { return &config.Change{} }

	It("has the value of the last change of an entry", func() {
		group, err := past(&config.Change{SetGroups: g(1)}, &config.Change{SetGroups: g(2)}, none(), none()).Group("g")
		Expect(err).NotTo(HaveOccurred())
		Expect(group.Slots).To(Equal(2))
	})

	It("has no entry that was removed or never set", func() {
		removed := past(&config.Change{SetGroups: g(1)}, &config.Change{RemoveGroups: []core.GroupID{"g"}}, none(), none())
		Expect(removed.Group("g")).To(BeNil())
		Expect(removed.Kind("k")).To(BeNil())
	})

	// Guards against a take-over whose flipped buckets are forgotten.
	It("has the last progress of a take-over", func() {
		set := map[string]*config.Takeover{"k": {State: config.TakeoverRunning, Buckets: 8}}
		t, err := past(&config.Change{SetTakeovers: set},
			&config.Change{SetBuckets: map[string]*config.BucketSets{"k": {Flipped: []byte{1}}}},
			&config.Change{SetBuckets: map[string]*config.BucketSets{"k": {Flipped: []byte{3}}}}, none()).Takeover("k")
		Expect(err).NotTo(HaveOccurred())
		Expect(t).To(Equal(&config.Takeover{State: config.TakeoverRunning, Buckets: 8, Flipped: []byte{3}}))
		Expect(set["k"].Flipped).To(BeNil())
	})

	// Guards against a value that was replaced by a change that is not known, or by one of another history.
	It("is not known beyond a gap", func() {
		_, err := past(&config.Change{SetGroups: g(1)}, nil, none(), none()).Group("g")
		Expect(err).To(MatchError(config.ErrUnknownPast))
		_, err = past(&config.Change{SetGroups: g(1)}, none(), &config.Change{Parent: "z"}, none()).Group("g")
		Expect(err).To(MatchError(config.ErrUnknownPast))
	})

	It("goes back to a known document of the same history only", func() {
		p := past(nil, nil, none(), none())
		p.Known = &config.Document{Revision: 2, ChangeID: "b", Groups: g(5)}
		group, err := p.Group("g")
		Expect(err).NotTo(HaveOccurred())
		Expect(group.Slots).To(Equal(5))
		p.Known.ChangeID = "z"
		_, err = p.Group("g")
		Expect(err).To(MatchError(config.ErrUnknownPast))
	})
})
