package memberconn_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/stmtcache"
	"limpetspan/pkg/memberconn"
	"limpetspan/platform"
)

// serveScript answers the statements of one connection as reply says.
func serveScript(reply func(text string, write func(answer string))) *memberconn.Conn {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		write := func(answer string) { _, _ = c.Write([]byte(answer)) }
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "STARTUP") {
				write("READY I 3.1\r\n")
				continue
			}
			_, text, _ := strings.Cut(strings.TrimPrefix(strings.TrimSuffix(line, "\r\n"), "QUERY "), " ")
			reply(text, write)
		}
	}()
	c, dialErr := memberconn.Dial(memberconn.Target{Addr: l.Addr().String(), Group: "ledger", Member: "i-1"}, stmtcache.Limits{Statements: 8, Bytes: 1 << 10}, &observer{}, waitLimit)
	Expect(dialErr).To(BeNil())
	DeferCleanup(c.Close)
	return c
}

// acknowledge returns a function that answers the statements that the proxy issues itself, at a position.
func acknowledge(position func() string) func(text string, write func(string)) {
	state := "I"
	return func(text string, write func(string)) {
		switch {
		case strings.HasPrefix(text, "BEGIN"):
			state = "T"
		case text == platform.TextRollback:
			state = "I"
		}
		write("COMPLETE -\r\nREADY " + state + " " + position() + "\r\n")
	}
}

func atStart() string { return "3.1" }

var _ = Describe("answers that are repeated late", func() {
	const busy = "ERROR BUSY i-1\r\nREADY I 3.1\r\n"

	// Guards against a write that is reported as not run, because its answer was lost and an older refusal was
	// given again.
	It("are no refusal of a write whose answer was lost", func() {
		var writes, runs atomic.Int32
		other := acknowledge(func() string { return fmt.Sprintf("3.%d", 1+runs.Load()) })
		c := serveScript(func(text string, write func(string)) {
			switch {
			case !strings.HasPrefix(text, "WRITE"):
				other(text, write)
			case writes.Add(1) == 1:
				write(busy)
			default:
				runs.Add(1)
				write(busy)
			}
		})
		a, _, err := c.Run(memberconn.Statement{ID: "c1.1", Text: "WRITE k 1"}, deadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Code).To(Equal("BUSY"))
		a, _, err = c.Run(memberconn.Statement{ID: "c2.1", Text: "WRITE k 2", Commits: true}, deadline())
		Expect(runs.Load()).To(BeNumerically("==", 1))
		Expect(err != nil || a.Code == "").To(BeTrue(), "the write ran, and the answer is %q", a.Code)
	})

	// Guards against a write that runs by itself because an older acknowledgement came before the refusal of its
	// transaction's beginning.
	It("do not begin a transaction that the member refuses a moment later", func() {
		var refuses atomic.Bool
		var outside atomic.Int32
		other := acknowledge(atStart)
		c := serveScript(func(text string, write func(string)) {
			switch {
			case text == platform.TextBegin && refuses.Load():
				write("COMPLETE -\r\nREADY T 3.1\r\n")
				time.Sleep(20 * time.Millisecond)
				write(busy)
			case strings.HasPrefix(text, "WRITE"):
				if refuses.Load() {
					outside.Add(1)
				}
				write("COMPLETE 7.1\r\nREADY I 3.2\r\n")
			default:
				other(text, write)
			}
		})
		_, _, err := c.Begin(platform.TextBegin, core.Position{}, deadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Rollback(deadline())).To(Succeed())
		refuses.Store(true)
		a, _, err := c.Begin(platform.TextBegin, core.Position{}, deadline())
		if err == nil && a.Code == "" {
			_, _, _ = c.Run(memberconn.Statement{ID: "c1.1", Text: "WRITE k 1"}, deadline())
		}
		Consistently(outside.Load, 100*time.Millisecond).Should(BeNumerically("==", 0))
	})

	// Guards against a position that is older than the statement and is dated by when it was sent.
	It("give a refusal no position from before the statement", func() {
		const later = "ERROR BUSY i-1\r\nREADY I 3.9\r\n"
		writes := 0
		other := acknowledge(atStart)
		c := serveScript(func(text string, write func(string)) {
			if !strings.HasPrefix(text, "WRITE") {
				other(text, write)
				return
			}
			if writes++; writes == 1 {
				write(busy)
				return
			}
			write(busy)
			write(later)
		})
		_, _, err := c.Run(memberconn.Statement{ID: "c1.1", Text: "WRITE k 1"}, deadline())
		Expect(err).NotTo(HaveOccurred())
		a, _, err := c.Run(memberconn.Statement{ID: "c2.1", Text: "WRITE k 2"}, deadline())
		if err == nil {
			Expect(a.Position).To(BeElementOf(core.Position{}, core.Position{Term: 3, LSN: 9}))
		}
	})
})
