package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
)

// hasRun reports whether a member has run the statement.
func (f *fleet) hasRun(id string) bool { return len(f.teamsOf(id)) > 0 }

// loseAnswer sends a read whose answer the primary drops, and returns once the read has run there.
// The read's answer to the caller arrives on the channel.
func (f *fleet) loseAnswer(x *caller) <-chan answer {
	p := f.group.Primary()
	ran := len(p.Statements())
	p.DropAnswers(1)
	answered := make(chan answer, 1)
	go func() {
		defer GinkgoRecover()
		answered <- x.query("READ lost")
	}()
	Eventually(func() int { return len(p.Statements()) }, waitLimit, time.Millisecond).Should(BeNumerically(">", ran))
	return answered
}

// replaceTeams puts other teams into force at the daemon, without a change in the store.
func (d *daemon) replaceTeams(teams *auth.Directory) {
	catalog := *d.p.catalog.Load()
	catalog.Teams = teams
	d.p.catalog.Store(&catalog)
}

// serveAsHome accepts sessions from entries like a home, and answers the n-th statement, counted from
// 0 over all its connections, with the text that respond returns. It closes the connection if that is
// empty.
func serveAsHome(l net.Listener, respond func(n int) string) {
	n := 0
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var hello reportpb.Hello
		r := bufio.NewReader(c)
		if protodelim.UnmarshalFrom(r, &hello) == nil && !hello.Configuration {
			_, _ = protodelim.MarshalTo(c, &reportpb.Welcome{})
			for _, err := r.ReadString('\n'); err == nil; _, err = r.ReadString('\n') {
				text := respond(n)
				n++
				if text == "" {
					break
				}
				_, _ = io.WriteString(c, text)
			}
		}
		_ = c.Close()
	}
}

// entryOf returns a fleet with one daemon and makes it an entry of two homes that answer with respond.
func entryOf(respond func(n int) string) *daemon {
	return entryServedBy(func(l net.Listener) { serveAsHome(l, respond) })
}

// entryServedBy returns a fleet with one daemon and makes it an entry of two homes that serve serves.
func entryServedBy(serve func(net.Listener), options ...func(f *fleet)) *daemon {
	f := newFleet(1, options...)
	f.awaitStable()
	entry := f.daemons[0]
	ip := processIP(99)
	l, err := net.Listen("tcp", entry.s.LinkAddr(ip))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go serve(l)
	entry.p.peers.mu.Lock()
	entry.p.peers.ensurePeer("edge-8", ip)
	entry.p.peers.ensurePeer("edge-9", ip)
	entry.p.peers.mu.Unlock()
	h := entry.p.homes
	h.mu.Lock()
	h.setStaticHomes("ledger", "edge-8", "edge-9")
	h.daemons = []direct.Daemon{{ID: "edge-8", Zone: "zone-1", Weight: 1}, {ID: "edge-9", Zone: "zone-1", Weight: 1}}
	h.mu.Unlock()
	return entry
}

const (
	homeBusy    = "ERROR BUSY not run: no member for it in time; retry after 200 ms\r\nREADY I -\r\n"
	homeBusyTx  = "ERROR BUSY not run: no member for it in time; retry after 200 ms\r\nREADY E -\r\n"
	requestMove = "TERMINATE\r\n"
)

var _ = Describe("a read that may have run", func() {
	// The answer was lost, and no other member may run the read. Guards against a refusal that says
	// "not run" although the read ran.
	It("is not refused as not run if no member is found for its next attempt", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		answered := f.loseAnswer(x)
		for _, m := range f.group.Members() {
			m.SetUnresponsive(true)
		}
		var a answer
		Eventually(answered, waitLimit).Should(Receive(&a))
		Expect(f.hasRun(a.id)).To(BeTrue())
		Expect(a.result).To(MatchRegexp(`^ERROR TIMEOUT may have run; it changed nothing: .*; retry after \d+ ms$`))
		Expect(a.state).To(Equal("I"))
	})

	// Guards against the same if the attempts are used up, each of which may have run.
	It("is not refused as not run after its last attempt", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-stale")
		x.queryUntilServed("WRITE k 1")
		x.queryUntilServed("READ k")
		for _, m := range f.group.Members() {
			m.DropAnswers(maxAttempts)
		}
		a := x.query("READ k")
		Expect(f.hasRun(a.id)).To(BeTrue())
		Expect(a.result).To(HavePrefix("ERROR TIMEOUT"))
	})

	// The read's reservation is used up by its first attempt, and the team is at its limit when it is
	// to run again.
	It("is not refused as not run if its team is at its limit by the next attempt", func() {
		f := newFleet(1, withLimits)
		d := f.daemons[0]
		x, y := d.openSession("db-primary", gatesKey), d.openSession("db-primary", gatesKey)
		x.queryUntilServed("READ k")
		answered := f.loseAnswer(x)
		teams := auth.NewDirectory()
		teams.Add(auth.Team{ID: "gates", Limited: true}, []auth.Fingerprint{auth.FingerprintOf(gatesKey)})
		d.replaceTeams(teams)
		Eventually(func() string { return y.query("READ k").result }, waitLimit, time.Millisecond).Should(ContainSubstring("the team is at its limit"))
		var a answer
		Eventually(answered, waitLimit).Should(Receive(&a))
		Expect(f.hasRun(a.id)).To(BeTrue())
		Expect(a.result).To(HavePrefix("ERROR TIMEOUT may have run; it changed nothing: the team is at its limit"))
	})

	It("is not refused as not run if its key is revoked by the next attempt", func() {
		f := newFleet(1, withKeys)
		d := f.daemons[0]
		x := d.openSession("db-primary", gatesKey)
		x.queryUntilServed("READ k")
		answered := f.loseAnswer(x)
		d.replaceTeams(auth.NewDirectory())
		var a answer
		Eventually(answered, waitLimit).Should(Receive(&a))
		Expect(f.hasRun(a.id)).To(BeTrue())
		Expect(a.result).To(Equal("ERROR TIMEOUT may have run; it changed nothing: no team has the key"))
		Expect(x.query("READ k").result).To(HavePrefix("ERROR AUTHFAIL"))
	})

	// The first home received the read and closed the link. Guards against an entry that relays the
	// second home's "not run", which holds for the second home only.
	It("is not refused as not run if a second home did not run it", func() {
		entry := entryOf(func(n int) string {
			if n == 0 {
				return ""
			}
			return homeBusy
		})
		a := entry.dial("db-own").query("READ k")
		Expect(a.result).To(MatchRegexp(`^ERROR TIMEOUT may have run; it changed nothing: no member for it in time; retry after \d+ ms$`))
		Expect(a.state).To(Equal("I"))
	})

	// The second home knows that the key was revoked meanwhile.
	It("is not refused for its key alone if a second home does not know the key", func() {
		entry := entryOf(func(n int) string {
			if n == 0 {
				return ""
			}
			return "ERROR AUTHFAIL no team has the key\r\nREADY I -\r\n"
		})
		Expect(entry.dial("db-own").query("READ k").result).To(Equal("ERROR TIMEOUT may have run; it changed nothing: no team has the key"))
	})

	// Guards against the same if the second home asks for a move, so that the entry tries a third time.
	It("is not refused as not run if a second home declined it", func() {
		entry := entryOf(func(n int) string {
			if n == 0 {
				return ""
			}
			return requestMove + homeBusy
		})
		Expect(entry.dial("db-own").query("READ k").result).To(HavePrefix("ERROR TIMEOUT may have run; it changed nothing: "))
	})

	It("is not refused as not run if no home answers it", func() {
		entry := entryOf(func(int) string { return "" })
		Expect(entry.dial("db-own").query("READ k").result).To(HavePrefix("ERROR TIMEOUT may have run; it changed nothing: "))
	})

	// A replica has failed the read, and the home can no longer serve its team. Guards against an answer
	// with the replica's error, after which the entry does not try another home.
	It("is not answered with a member's error if the entry was asked to move the session", func() {
		s := &session{p: &Proxy{stats: newStats()}, fromEntry: true}
		j := &job{failed: &failedRead{body: []byte("ERROR FAILED\r\n")}}
		s.answerUnproved(j, "x")
		Expect(string(s.out)).To(HavePrefix("ERROR FAILED"))
		s.out = nil
		s.redirectEntry()
		s.answerUnproved(j, "x")
		Expect(string(s.out)).To(HavePrefix(requestMove + "ERROR TIMEOUT"))
	})

	// A home cannot prove that a read did not run, and asks for a move. Guards against an entry that
	// gives up the read although another home can serve it.
	It("runs again at another home if its home asks for a move", func() {
		entry := entryOf(func(n int) string {
			if n == 0 {
				return requestMove + "ERROR TIMEOUT may have run; it changed nothing: no member for it in time; retry after 200 ms\r\nREADY I -\r\n"
			}
			return "DATAROW 1\r\nCOMPLETE r.i-1.q\r\nREADY I 1.1\r\n"
		})
		Expect(entry.dial("db-own").query("READ k").rows).To(Equal([]string{"1"}))
	})
})

var _ = Describe("a statement that did not run", func() {
	// Guards against proofs that are withheld: the caller of a refused write could not retry it.
	It("is refused as not run if all its homes declined it", func() {
		entry := entryOf(func(int) string { return requestMove + homeBusy })
		Expect(entry.dial("db-own").query("WRITE k 1").result).To(HavePrefix("ERROR BUSY not run: "))
	})

	It("is refused as not run in a transaction that began nowhere, and in its commit", func() {
		entry := entryOf(func(int) string { return "COMPLETE -\r\nREADY T -\r\n" + homeBusyTx })
		x := entry.dial("db-own")
		for _, text := range []string{"READ k", "COMMIT"} {
			x.query("BEGIN")
			Expect(x.query(text).result).To(HavePrefix("ERROR BUSY not run: "), text)
			x.query("ROLLBACK")
		}
	})

	// The member refuses each attempt.
	It("is refused as not run if the members refused it", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		f.group.Primary().RefuseStatements(maxAttempts)
		a := x.query("WRITE k 2")
		Expect(a.result).To(HavePrefix("ERROR BUSY not run: "), fmt.Sprint(f.group.Primary().Statements()))
		Expect(f.hasRun(a.id)).To(BeFalse())
	})
})

var _ = Describe("a transaction that may have run in part", func() {
	// The answer to a statement is lost, or its home is. Guards against "not run" for a statement that
	// ran before the transaction was rolled back.
	It("is reported as aborted, not as not run", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		x.query("BEGIN")
		f.group.Primary().DropAnswers(1)
		Expect(x.query("WRITE k 2").result).To(HavePrefix("ERROR ABORTED"))
		Expect(x.query("ROLLBACK").state).To(Equal("I"))
		Expect(f.group.Commits()).To(HaveLen(1))
	})

	// Guards against "not run" for a transaction whose statements ran before its commit was refused.
	It("is reported as aborted if its home refuses the commit", func() {
		entry := entryOf(func(n int) string {
			switch n {
			case 0, 3:
				return "COMPLETE -\r\nREADY T -\r\n"
			case 1:
				return "COMPLETE r.i-1.q\r\nREADY T -\r\n"
			}
			return "ERROR BUSY i-1\r\nREADY T -\r\n"
		})
		x := entry.dial("db-own")
		x.query("BEGIN")
		Expect(x.query("WRITE k 1").state).To(Equal("T"))
		a := x.query("COMMIT")
		Expect(a.result).To(HavePrefix("ERROR ABORTED"))
		Expect(a.state).To(Equal("I"))
	})

	It("is in doubt if the answer to its commit was lost after it wrote", func() {
		entry := entryOf(func(n int) string {
			switch n {
			case 0:
				return "COMPLETE -\r\nREADY T -\r\n"
			case 1:
				return "COMPLETE r.i-1.q\r\nREADY T -\r\n"
			}
			return ""
		})
		x := entry.dial("db-own")
		x.query("BEGIN")
		Expect(x.query("WRITE k 1").state).To(Equal("T"))
		Expect(strings.Fields(x.query("COMMIT").result)[1]).To(Equal("INDOUBT"))
	})
})
