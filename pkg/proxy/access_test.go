package proxy

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"limpetspan/platform"
)

const (
	gatesKey = "key-of-the-gates"
	baysKey  = "key-of-the-bays"
	// keyRevocationBound is short, so that a proof expires within a test.
	keyRevocationBound = 2 * time.Second
)

// teamEntry returns a team's entry of the configuration.
func teamEntry(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys}
}

// withKeys configures teams, and requires keys of the fleet's callers.
func withKeys(f *fleet) {
	f.teams = []map[string]any{teamEntry("gates", gatesKey), teamEntry("bays", baysKey)}
	f.adjustSettings = func(s *platform.Settings) {
		s.TeamsEnabled, s.KeyRevocationBound, s.ConfigurationBound = true, keyRevocationBound, keyRevocationBound
	}
}

// openSession opens a session with a known key.
func (d *daemon) openSession(database, key string) *caller {
	x := d.dialWith(database, key)
	Expect(x.line()).To(Equal("READY I -"))
	return x
}

// teamsOf returns the teams in whose name the statement ran, on all members.
func (f *fleet) teamsOf(id string) (names []string) {
	for _, m := range f.group.Members() {
		of := m.StatementTeams()
		for i, run := range m.Statements() {
			if strings.HasPrefix(run, id+" ") {
				names = append(names, of[i])
			}
		}
	}
	return names
}

// setTeams stores a configuration with these teams.
func (f *fleet) setTeams(teams ...map[string]any) {
	f.teams = teams
	f.configure("db-primary", "db-own", "db-stale")
}

var _ = Describe("a caller's key", func() {
	It("determines the team in whose name its statements run", func() {
		f := newFleet(1, withKeys)
		gates, bays := f.daemons[0].openSession("db-primary", gatesKey), f.daemons[0].openSession("db-primary", baysKey)
		for range 3 {
			Expect(f.teamsOf(gates.queryUntilServed("WRITE k 1").id)).To(Equal([]string{"gates"}))
			Expect(f.teamsOf(bays.queryUntilServed("READ k").id)).To(Equal([]string{"bays"}))
		}
	})

	It("opens no session if no team has it", func() {
		f := newFleet(1, withKeys)
		for _, key := range []string{"guess", ""} {
			Expect(f.daemons[0].dialWith("db-primary", key).line()).To(HavePrefix("ERROR AUTHFAIL"))
		}
	})

	It("opens no session if keys are required and the configuration names no teams", func() {
		f := newFleet(1, withKeys, func(f *fleet) { f.teams = nil })
		Expect(f.daemons[0].dialWith("db-primary", gatesKey).line()).To(HavePrefix("ERROR AUTHFAIL"))
	})

	It("takes effect once it is added, and stops working in open sessions once it is revoked", func() {
		f := newFleet(1, withKeys)
		f.setTeams(teamEntry("gates", gatesKey), teamEntry("desk", "new-key"))
		Eventually(func() string { return f.daemons[0].dialWith("db-primary", "new-key").line() }, waitLimit).Should(Equal("READY I -"))
		x := f.daemons[0].openSession("db-primary", gatesKey)
		x.queryUntilServed("WRITE k 1")
		f.setTeams(teamEntry("gates", "another"))
		Eventually(func() string { return x.query("READ k").result }, waitLimit).Should(HavePrefix("ERROR AUTHFAIL"))
		f.setTeams(teamEntry("gates", gatesKey))
		x.queryUntilServed("READ k")
	})

	// A caller's key is revoked while its transaction is open. The transaction's writes must
	// not be kept, because its commit would be a request with a revoked key.
	It("rolls back its open transaction if it is revoked", func() {
		f := newFleet(1, withKeys)
		x := f.daemons[0].openSession("db-primary", gatesKey)
		x.queryUntilServed("READ k")
		Expect(x.query("BEGIN").result).To(Equal("COMPLETE -"))
		Expect(x.query("WRITE k lost").isServed()).To(BeTrue())
		version := f.version
		f.setTeams(teamEntry("gates", "another"))
		Eventually(func() int { return int(f.daemons[0].p.metadata.Version()) }, waitLimit).Should(BeNumerically(">", version))
		Expect(x.query("COMMIT").result).To(HavePrefix("ERROR ABORTED"))
		f.setTeams(teamEntry("gates", gatesKey))
		Expect(x.queryUntilServed("READ k").rows).NotTo(ContainElement("lost"))
	})

	// The daemon is cut off from the store. Its callers' keys may have been revoked since,
	// so nothing runs once its proof has expired. Callers are asked to retry, not told that
	// their keys are wrong, and their sessions continue when the store is back.
	It("is not accepted at a daemon whose configuration may be older than the bound", func() {
		f := newFleet(1, withKeys)
		d := f.daemons[0]
		x := d.openSession("db-primary", gatesKey)
		x.queryUntilServed("WRITE k 1")
		d.cutStoreAndWait()
		Eventually(func() string { return x.query("READ k").result }, waitLimit).Should(HavePrefix("ERROR BUSY not run: the key cannot be checked now; retry after"))
		Expect(d.dialWith("db-primary", "guess").line()).To(HavePrefix("ERROR BUSY"))
		ran := len(f.group.Primary().Statements())
		Expect(x.query("WRITE k 2").isServed()).To(BeFalse())
		Expect(f.group.Primary().Statements()).To(HaveLen(ran))
		d.p.client.SetAddresses(f.store.Addr(), f.store.Addr())
		x.queryUntilServed("WRITE k 3")
	})

	It("is never written to a log", func() {
		f := newFleet(1, withKeys)
		f.daemons[0].openSession("db-primary", gatesKey).queryUntilServed("WRITE k 1")
		f.daemons[0].dialWith("db-primary", "key-of-nobody").line()
		f.setTeams(teamEntry("gates", gatesKey), teamEntry("bays", gatesKey))
		Eventually(f.log, waitLimit).Should(gbytes.Say("part of the configuration cannot be used"))
		Expect(string(f.log.Contents())).NotTo(ContainSubstring("key-of-"))
	})

	It("is not required on a public route", func() {
		f := newFleet(1, withKeys)
		f.version += 2
		route := routeTo("db-primary", "ledger")
		route["public"] = true
		Expect(f.store.Put("op/config", map[string]any{"version": f.version, "routes": []map[string]any{route}, "limits": map[string]any{},
			"services": []map[string]any{{"name": "ledger", "max_conns": 22}}, "tenants": f.teams})).To(Succeed())
		Eventually(func() string { return f.daemons[0].dialWith("db-primary", "").line() }, waitLimit).Should(Equal("READY I -"))
		x := f.daemons[0].openSession("db-primary", gatesKey)
		Expect(f.teamsOf(x.queryUntilServed("READ k").id)).To(Equal([]string{"gates"}))
	})
})

var _ = Describe("a member's connections", func() {
	// There are more teams than connections, so a team's statement finds all of them open
	// for other teams. Unless an idle one is closed, the statement waits forever.
	It("are closed if they are idle and another team needs one", func() {
		f := newFleet(1, withKeys, func(f *fleet) {
			for i := range 30 {
				f.teams = append(f.teams, teamEntry("t"+strings.Repeat("x", i+1), "key"+strings.Repeat("x", i+1)))
			}
		})
		for range 2 {
			for i := range 30 {
				x := f.daemons[0].openSession("db-primary", "key"+strings.Repeat("x", i+1))
				Expect(f.teamsOf(x.queryUntilServed("READ k").id)).To(Equal([]string{"t" + strings.Repeat("x", i+1)}))
			}
		}
		Expect(f.daemons[0].p.stats.connsReplaced.Value()).To(BeNumerically(">", 0))
	})
})
