package proxy

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

// pauseReplicas stops the replicas from receiving the log until the end of the test.
func (f *fleet) pauseReplicas() {
	for _, m := range f.group.Members() {
		if !m.IsPrimary() {
			m.SetReplicationPaused(true)
		}
	}
}

// awaitReplicaReads sends reads until the daemon runs them on replicas.
func (d *daemon) awaitReplicaReads(x *caller) {
	GinkgoHelper()
	before := d.p.stats.onReplica.Value()
	Eventually(func() int64 {
		x.queryUntilServed("READ k")
		return d.p.stats.onReplica.Value() - before
	}, waitLimit).Should(BeNumerically(">=", 5))
}

// readsAfterMove is the number of reads that follow a move. One of them may run on the primary, which
// has every commit.
const readsAfterMove = 20

var _ = Describe("the last commit of a session", func() {
	writeData := func(x *caller, data string) {
		GinkgoHelper()
		x.queryUntilServed("WRITE k " + data)
	}
	commitData := func(x *caller, data string) {
		GinkgoHelper()
		Expect(x.query("BEGIN").state).To(Equal("T"))
		Expect(x.query("WRITE k " + data).state).To(Equal("T"))
		Expect(x.query("COMMIT").isServed()).To(BeTrue())
	}
	readInTransaction := func(x *caller, data string) {
		GinkgoHelper()
		for range readsAfterMove {
			Expect(x.query("BEGIN READ").state).To(Equal("T"))
			Expect(x.query("READ k").rows).To(Equal([]string{data}))
			Expect(x.query("COMMIT").state).To(Equal("I"))
		}
	}
	read := func(x *caller, data string) {
		GinkgoHelper()
		for range readsAfterMove {
			Expect(x.queryUntilServed("READ k").rows).To(Equal([]string{data}))
		}
	}

	// Guards against reads that lack a commit of their own session: the daemon that runs them served the
	// session before and did not learn of a commit that another daemon has run since. Each digit is the
	// home of one step; 0 is the session's entry. The last step reads, all others write.
	DescribeTable("is known wherever the session's reads run", func(path []int, write, read func(x *caller, data string)) {
		f := newFleet(3)
		f.awaitAllDiscovered()
		x := f.daemons[0].dial("db-own")
		// Members are expected to take 15 ms. If the primary took less, replicas would not be tried.
		f.group.SetStatementDelay(20 * time.Millisecond)
		last := len(path) - 1
		for step, home := range path[:last] {
			f.useHomes(f.daemons[home])
			if step == last-1 {
				f.pauseReplicas()
			}
			write(x, fmt.Sprint(step))
			if step < last-1 {
				f.daemons[home].awaitReplicaReads(x)
			}
		}
		f.useHomes(f.daemons[path[last]])
		read(x, fmt.Sprint(last-1))
	},
		Entry("home, entry, the same home", []int{1, 0, 1}, writeData, read),
		Entry("home, entry, the same home, with transactions", []int{1, 0, 1}, commitData, read),
		Entry("home, entry, the same home, read in a transaction", []int{1, 0, 1}, writeData, readInTransaction),
		Entry("home, entry, another home", []int{1, 0, 2}, writeData, read),
		Entry("home, another home, the first one", []int{1, 2, 1}, writeData, read),
		Entry("entry, home, entry", []int{0, 1, 0}, writeData, read),
		Entry("entry, home, entry, with transactions", []int{0, 1, 0}, commitData, readInTransaction),
		Entry("home, entry, home, entry, home", []int{1, 0, 1, 0, 1}, commitData, read),
	)

	// Guards against the same where a write over a team's limit at the home returns to its entry.
	It("is known at the home after its entry has run a write against the second part of the limit", func() {
		f := newFleet(3, withSplitLimits)
		f.awaitAllDiscovered()
		f.daemons[0].openSession("db-own", baysKey).queryUntilServed("WRITE k 0")
		home, entry, _ := f.awaitBothHolders("bays")
		s := &session{p: entry.p, database: "db-own", key: auth.FingerprintOf(baysKey), sessionState: newSessionState()}
		defer s.closeLink()
		deadline := now().Add(waitLimit)
		l, err := s.connectHome("ledger", deadline)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.home).To(Equal(home.s.Daemon))
		j := &job{id: "w1", kind: direct.StatementWrite, text: "WRITE k 1", memberText: "WRITE k 1", writes: true, route: entry.p.catalog.Load().Routes["db-own"], arrived: now()}
		Expect(s.runsSecondPart(j, &platform.Answer{Code: platform.CodeBusy, Text: "not run: " + textAtLimit})).To(BeTrue())
		s.runSingle(j)
		Expect(string(s.out)).To(ContainSubstring("COMPLETE r."))
		Expect(f.holderOf(quota.SlotOf("bays"))).To(Equal(home))
		again, err := s.connectHome("ledger", deadline)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.home).To(Equal(home.s.Daemon))
		Expect(again.commit).To(Equal(s.commits.In("ledger").Position))
		Expect(again.commit.IsZero()).To(BeFalse())
		Expect(entry.p.stats.linksOutdated.Value()).To(BeEquivalentTo(1))
	})

	// Guards against links that are opened again for each statement.
	It("does not replace a link whose home has run the session's commits", func() {
		f := newFleet(2)
		f.awaitAllDiscovered()
		f.useHomes(f.daemons[0])
		entry := f.daemons[1]
		x := entry.dial("db-own")
		for _, data := range []string{"1", "2"} {
			writeData(x, data)
			commitData(x, data)
			read(x, data)
		}
		Expect(entry.p.stats.linksOutdated.Value()).To(BeZero())
	})

	// Guards against a position in the log of one group that is required of another group's log, and
	// against a commit that is forgotten while the database is in another group.
	It("counts in its own group only if the configuration moves the database", func() {
		s := &session{p: &Proxy{}}
		s.p.access = access{p: s.p}
		first, second := core.Position{Term: 3, LSN: 50}, core.Position{Term: 1, LSN: 2}
		required := func(id core.GroupID) core.Position {
			return s.requirement(direct.Route{Group: id, Consistency: direct.ReadYourWrites}, false, 0).Session
		}
		s.commits.Record(direct.SessionCommit{Group: "first", Position: first, At: 1})
		Expect(required("second")).To(BeZero())
		s.commits.Record(direct.SessionCommit{Group: "second", Position: second, At: 2})
		Expect(required("second")).To(Equal(second))
		Expect(required("first")).To(Equal(first))
		s.commits.Record(direct.SessionCommit{Group: "first", Position: core.Position{Term: 3, LSN: 51}, At: 3})
		Expect(required("first")).To(Equal(core.Position{Term: 3, LSN: 51}))
		Expect(s.commits).To(HaveLen(2))
	})
})
