package auth_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/auth"
)

func TestAuth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "auth")
}

const (
	bound = 5 * time.Second
	start = core.Time(time.Hour)
)

func directory(keys map[string]core.TeamID) *auth.Directory {
	d := auth.NewDirectory()
	for key, team := range keys {
		d.Add(auth.Team{ID: team}, []auth.Fingerprint{auth.FingerprintOf(key)})
	}
	return d
}

func verdict(d *auth.Directory, key string, age time.Duration) auth.Verdict {
	_, v := auth.NewVerifier(bound).Check(start, start.Add(-age), d, auth.FingerprintOf(key))
	return v
}

var _ = Describe("a key", func() {
	It("identifies its team", func() {
		t, v := auth.NewVerifier(bound).Check(start, start, directory(map[string]core.TeamID{"k": "gates"}), auth.FingerprintOf("k"))
		Expect(v).To(Equal(auth.Granted))
		Expect(t.ID).To(Equal(core.TeamID("gates")))
	})

	It("is unknown if no team has it or if it is empty", func() {
		d := directory(map[string]core.TeamID{"k": "gates"})
		Expect(verdict(d, "guess", 0)).To(Equal(auth.Unknown))
		Expect(verdict(d, "", 0)).To(Equal(auth.Unknown))
		Expect(verdict(auth.NewDirectory(), "k", 0)).To(Equal(auth.Unknown))
	})

	// A daemon is partitioned from the store and from all daemons that reach it. Its callers' keys
	// may be removed meanwhile. Statements run for as long as the bound allows, then none runs, and
	// no caller is told that its key is wrong.
	It("is not granted once the configuration may be older than the bound", func() {
		d := directory(map[string]core.TeamID{"k": "gates"})
		Expect(verdict(d, "k", bound-auth.Margin-time.Millisecond)).To(Equal(auth.Granted))
		Expect(verdict(d, "k", bound-auth.Margin)).To(Equal(auth.Unproved))
		Expect(verdict(d, "guess", bound)).To(Equal(auth.Unproved))
	})

	It("is not granted before the first proof", func() {
		_, v := auth.NewVerifier(bound).Check(core.Time(time.Second), 0, directory(map[string]core.TeamID{"k": "gates"}), auth.FingerprintOf("k"))
		Expect(v).To(Equal(auth.Unproved))
	})

	// An operator copies a team's entry in the configuration and forgets to replace its key.
	It("belongs to no team if two teams have it", func() {
		d := directory(map[string]core.TeamID{"k": "gates"})
		key := auth.FingerprintOf("k")
		Expect(d.Add(auth.Team{ID: "bays"}, []auth.Fingerprint{key})).To(Equal([]auth.Fingerprint{key}))
		Expect(verdict(d, "k", 0)).To(Equal(auth.Unknown))
		Expect(d.Add(auth.Team{ID: "desk"}, []auth.Fingerprint{key})).To(HaveLen(1))
		Expect(verdict(d, "k", 0)).To(Equal(auth.Unknown))
	})

	It("is not needed if there are no teams", func() {
		_, v := auth.NewVerifier(bound).Check(start, 0, nil, auth.Fingerprint{})
		Expect(v).To(Equal(auth.Granted))
	})

	It("is shown only as a part of its digest", func() {
		Expect(auth.FingerprintOf("secret").String()).To(Equal("2bb80d537b1da3e3"))
		Expect(auth.Fingerprint{}.String()).To(Equal("none"))
	})
})
