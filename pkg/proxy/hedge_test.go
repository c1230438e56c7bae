package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

// serveLate accepts sessions like a home, and answers a statement only once the next one has arrived on
// the same connection.
func serveLate(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			r := bufio.NewReader(c)
			var hello reportpb.Hello
			if protodelim.UnmarshalFrom(r, &hello) != nil || hello.Configuration {
				return
			}
			_, _ = protodelim.MarshalTo(c, &reportpb.Welcome{})
			for last := ""; ; {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if last != "" {
					_, _ = fmt.Fprintf(c, "DATAROW late\r\nCOMPLETE r.late.%s\r\nREADY I 1.1\r\n", last)
				}
				last = strings.Fields(line)[1]
			}
		}()
	}
}

// hedgingEntry returns an entry of two homes that answer echoes, and for which reads that take longer than
// some milliseconds are slower than usual. The homes answer the n-th statement with the text that respond
// returns, and not at all if that is empty. They serve links at the same time.
func hedgingEntry(respond func(n int) string) *daemon {
	var n atomic.Int64
	n.Store(-1)
	serveLink := func(c net.Conn) {
		r := bufio.NewReader(c)
		var hello reportpb.Hello
		if protodelim.UnmarshalFrom(r, &hello) != nil || hello.Configuration {
			return
		}
		_, _ = protodelim.MarshalTo(c, &reportpb.Welcome{})
		for _, err := r.ReadString('\n'); err == nil; _, err = r.ReadString('\n') {
			_, _ = io.WriteString(c, respond(int(n.Add(1))))
		}
	}
	entry := entryServedBy(func(l net.Listener) {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serveLink(c)
		}
	}, withShortRoute)
	entry.keepAlive("edge-8")
	entry.keepAlive("edge-9")
	entry.observeFastReads("db-primary")
	return entry
}

// keepAlive makes the entry believe until the end of the test that the home answers echoes.
func (d *daemon) keepAlive(home core.DaemonID) {
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				d.p.homes.health.echoed(home, now())
			}
		}
	}()
}

func (d *daemon) hedgeCount(name string) string {
	v := d.p.stats.hedges.Get(name)
	if v == nil {
		return "0"
	}
	return v.String()
}

// observeFastReads makes reads that take longer than some milliseconds slower than usual.
func (d *daemon) observeFastReads(database string) {
	for range 100 {
		d.p.homes.hedging.answered(database, &platform.Answer{}, time.Millisecond)
	}
}

var _ = Describe("a read that is hedged", func() {
	// Guards against a read that waits for its whole timeout at a home that is alive and stuck, and
	// against taking the late answer to it for that of the session's next statement.
	It("is answered by another home, and the late answer of the first one is never taken", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		home.dial("db-own").queryUntilServed("WRITE k 1")
		entry.keepAlive(f.addSilentHome(entry, home, serveLate))
		entry.observeFastReads("db-own")
		x := entry.dial("db-own")
		for range 3 {
			a := x.query("READ k")
			Expect(a.isServed()).To(BeTrue(), a.result)
			Expect(a.rows).To(Equal([]string{"1"}))
		}
		Expect(entry.hedgeCount("slower than usual")).To(Equal("3"))
		Expect(entry.hedgeCount("won")).To(Equal("3"))
	})

	// Guards against reads that a lost home holds until the verdict, although some echoes without an
	// answer show before that something is wrong.
	It("is sent to another home as soon as its home is suspected", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		home.dial("db-own").queryUntilServed("WRITE k 1")
		f.addSilentHome(entry, home, serveSilently)
		answers := make(chan answer, 8)
		for range cap(answers) {
			x := entry.dial("db-own")
			go func() {
				defer GinkgoRecover()
				answers <- x.query("READ k")
			}()
		}
		for range cap(answers) {
			var a answer
			Eventually(answers, waitLimit).Should(Receive(&a))
			Expect(a.isServed()).To(BeTrue(), a.result)
		}
		Expect(entry.hedgeCount("home suspected")).NotTo(Equal("0"))
		Expect(entry.hedgeCount("slower than usual")).To(Equal("0"))
	})

	// Guards against telling the caller that a read was not run because the last home says so, although
	// another one may have run it.
	It("is not refused as not run if a home that received it did not answer", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		home.dial("db-primary").queryUntilServed("WRITE k 1")
		entry.keepAlive(f.addSilentHome(entry, home, serveSilently))
		entry.observeFastReads("db-primary")
		f.group.SetStatementDelay(waitLimit / 5)
		a := entry.dial("db-primary").query("READ k")
		Expect(a.result).To(HavePrefix("ERROR TIMEOUT"))
		Expect(a.state).To(Equal("I"))
		Expect(entry.hedgeCount("slower than usual")).To(Equal("1"))
	})

	// Guards against "not run" from one home's refusal while the other one has received the read as well.
	DescribeTable("is not refused as not run if only one home refuses it", func(refusing int) {
		bothReceived := make(chan struct{})
		entry := hedgingEntry(func(n int) string {
			if n == 1 {
				close(bothReceived)
			}
			<-bothReceived
			if n == refusing {
				return homeBusy
			}
			return ""
		})
		a := entry.dial("db-primary").query("READ k")
		Expect(a.result).To(HavePrefix("ERROR TIMEOUT may have run; it changed nothing: "))
		Expect(entry.hedgeCount("slower than usual")).To(Equal("1"))
	}, Entry("the first", 0), Entry("the second", 1))

	// Guards against TIMEOUT for a read that both homes have certainly not run.
	It("is refused as not run if both homes refuse it", func() {
		bothReceived := make(chan struct{})
		entry := hedgingEntry(func(n int) string {
			if n == 1 {
				close(bothReceived)
			}
			<-bothReceived
			return homeBusy
		})
		a := entry.dial("db-primary").query("READ k")
		Expect(a.result).To(HavePrefix("ERROR BUSY not run: "))
		Expect(entry.hedgeCount("failed")).To(Equal("1"))
	})

	// Guards against hedges that add load to members that already refuse reads.
	It("is sent to one home only while reads of its database are refused because of load", func() {
		var entry *daemon
		hedged, ready := false, make(chan struct{})
		entry = hedgingEntry(func(n int) string {
			switch n {
			case 0:
				return homeBusy
			case 1:
				<-ready
				for range 1000 {
					if entry.hedgeCount("over budget") != "0" {
						break
					}
					time.Sleep(time.Millisecond)
				}
				return "COMPLETE r\r\nREADY I -\r\n"
			}
			hedged = true
			return ""
		})
		close(ready)
		x := entry.dial("db-primary")
		Expect(x.query("READ k").result).To(HavePrefix("ERROR BUSY"))
		x.query("READ k")
		Expect(entry.hedgeCount("over budget")).To(Equal("1"))
		Expect(entry.hedgeCount("slower than usual")).To(Equal("0"))
		Expect(hedged).To(BeFalse())
	})

	It("is not a write", func() {
		f := newFleet(2, withShortRoute)
		f.awaitStable()
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		entry.observeFastReads("db-own")
		s := &session{p: entry.p, database: "db-own", sessionState: newSessionState()}
		Expect(s.mayHedge(&job{})).To(BeTrue())
		Expect(s.mayHedge(&job{writes: true})).To(BeFalse())
	})
})
