package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core/pipeline"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

// numberedHome serves links like a home with numbered answers, unless unnumbered is set.
type numberedHome struct {
	unnumbered bool
	// greeting is sent behind the Welcome.
	greeting string
	// respond returns what is sent instead of the answer to a statement. before is the answer to the
	// statement before it on the link.
	respond func(text, before, answer string) string

	mu sync.Mutex
	// received are the texts of the statements, over all links.
	received []string
}

// numberedLink is a link at a numberedHome.
type numberedLink struct {
	home *numberedHome
	// count is the number of the last statement, and state that of the transaction.
	count  int
	state  string
	before string
}

func (h *numberedHome) serve(l net.Listener) {
	for c, err := l.Accept(); err == nil; c, err = l.Accept() {
		go h.serveLink(c)
	}
}

func (h *numberedHome) serveLink(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var hello reportpb.Hello
	if protodelim.UnmarshalFrom(r, &hello) != nil || hello.Configuration {
		return
	}
	var out bytes.Buffer
	_, _ = protodelim.MarshalTo(&out, &reportpb.Welcome{NumberedAnswers: hello.NumberedAnswers && !h.unnumbered})
	out.WriteString(h.greeting)
	_, _ = c.Write(out.Bytes())
	link := &numberedLink{home: h, state: "I"}
	for line, err := r.ReadString('\n'); err == nil; line, err = r.ReadString('\n') {
		f := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if _, err := io.WriteString(c, link.answer(f[1], f[2])); err != nil {
			return
		}
	}
}

// answer returns what is sent for a statement.
func (l *numberedLink) answer(id, text string) string {
	l.home.mu.Lock()
	defer l.home.mu.Unlock()
	l.home.received = append(l.home.received, text)
	l.count++
	answer := l.correctAnswer(id, text)
	before := l.before
	l.before = answer
	if l.home.respond == nil {
		return answer
	}
	return l.home.respond(text, before, answer)
}

func (l *numberedLink) correctAnswer(id, text string) string {
	word, item, _ := strings.Cut(text, " ")
	body := "COMPLETE -\r\n"
	switch word {
	case "BEGIN":
		l.state = "T"
	case "ROLLBACK":
		l.state = "I"
	case "READ":
		body = fmt.Sprintf("DATAROW %s\r\nCOMPLETE r.home.%s\r\n", item, id)
	case "WRITE":
		body = fmt.Sprintf("COMPLETE r.home.%s\r\n", id)
	case "COMMIT":
		l.state = "I"
		body = fmt.Sprintf("COMPLETE r.home.%s\r\n", id)
	}
	return l.number() + body + fmt.Sprintf("READY %s 1.%d\r\n", l.state, l.count)
}

// number returns the line before the answer to the last statement.
func (l *numberedLink) number() string {
	if l.home.unnumbered {
		return ""
	}
	return fmt.Sprintf("ANSWER %d\r\n", l.count)
}

// hasReceived reports whether a statement with the text has arrived on any link.
func (h *numberedHome) hasReceived(text string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.received {
		if t == text {
			return true
		}
	}
	return false
}

// once returns a respond that changes only the answer to the first statement with the text.
func once(text string, change func(before, answer string) string) func(text, before, answer string) string {
	done := false
	return func(t, before, answer string) string {
		if done || t != text {
			return answer
		}
		done = true
		return change(before, answer)
	}
}

// Changes of an answer.
func twice(_, answer string) string              { return answer + answer }
func afterRepeated(before, answer string) string { return before + answer }
func withoutEnd(_, answer string) string         { return answer[:strings.LastIndex(answer, "READY")] }

func afterUnnumbered(_, answer string) string {
	return "DATAROW other\r\nCOMPLETE r.home.other\r\nREADY I 1.9\r\n" + answer
}

func afterEnd(before, answer string) string {
	return before[strings.LastIndex(before, "READY"):] + answer
}

const busyBody = "ERROR BUSY not run: no member for it in time; retry after 200 ms\r\nREADY I -\r\n"

var _ = Describe("an answer of a home that is out of turn", func() {
	// open returns a session at an entry whose homes are like h.
	open := func(h *numberedHome) (*daemon, *caller) {
		entry := entryServedBy(h.serve)
		return entry, entry.dial("db-own")
	}
	outOfTurn := func(entry *daemon) int64 { return entry.p.stats.linkAnswersOutOfTurn.Value() }

	// expectRead runs a read that must be answered with its own receipt and row.
	expectRead := func(x *caller, item string) {
		GinkgoHelper()
		a := x.query("READ " + item)
		Expect(a.isServed()).To(BeTrue(), a.result)
		Expect(a.rows).To(Equal([]string{item}))
	}

	// Guards against a read that is answered with what belongs to another statement.
	DescribeTable("is not taken for that to a read", func(change func(before, answer string) string) {
		h := &numberedHome{respond: once("READ k2", change)}
		entry, x := open(h)
		expectRead(x, "k1")
		expectRead(x, "k2")
		expectRead(x, "k3")
		Expect(outOfTurn(entry)).To(BeNumerically("==", 1))
	},
		Entry("if it repeats the one before, late", afterRepeated),
		Entry("if it is repeated at once", twice),
		Entry("if it has no number", afterUnnumbered),
		Entry("if it is the end of the one before", afterEnd),
	)

	// Guards against a write that is acknowledged or refused with what belongs to another statement.
	DescribeTable("is not taken for that to a write", func(change func(before, answer string) string) {
		h := &numberedHome{respond: once("WRITE k2 v", change)}
		entry, x := open(h)
		Expect(x.query("WRITE k1 v").isServed()).To(BeTrue())
		a := x.query("WRITE k2 v")
		Expect(a.result).To(HavePrefix("ERROR INDOUBT"))
		Expect(a.state).To(Equal("I"))
		expectRead(x, "k3")
		Expect(outOfTurn(entry)).To(BeNumerically("==", 1))
	},
		Entry("if it repeats the one before, late", afterRepeated),
		Entry("if it has no number", afterUnnumbered),
		Entry("if it is the end of the one before", afterEnd),
	)

	// Guards against "not run" for a write that is committed.
	It("is not taken for the refusal of a write that ran", func() {
		n := 0
		h := &numberedHome{}
		h.respond = func(_, before, answer string) string {
			n++
			if n == 1 {
				return "ANSWER 1\r\n" + busyBody
			}
			if n == 2 {
				return "ANSWER 1\r\n" + busyBody + answer
			}
			return answer
		}
		_, x := open(h)
		Expect(x.query("WRITE k1 v").result).To(HavePrefix("ERROR BUSY not run: "))
		Expect(x.query("WRITE k2 v").result).To(HavePrefix("ERROR INDOUBT"))
		expectRead(x, "k3")
	})

	// Guards against a statement that is answered with a repeated answer to what precedes it.
	DescribeTable("is not taken for that to the statement behind a state change", func(statement string) {
		h := &numberedHome{respond: once("SET zone jst", twice)}
		entry, x := open(h)
		Expect(x.query("SET zone jst").result).To(Equal("COMPLETE -"))
		a := x.query(statement)
		if strings.HasPrefix(statement, "READ") {
			Expect(a.isServed()).To(BeTrue(), a.result)
		} else {
			Expect(a.result).To(HavePrefix("ERROR INDOUBT"))
		}
		Expect(outOfTurn(entry)).To(BeNumerically("==", 1))
	},
		Entry("of a read", "READ k"),
		Entry("of a write", "WRITE k v"),
	)

	// Guards against the same behind a BEGIN.
	It("is not taken for that to the first statement of a transaction", func() {
		h := &numberedHome{respond: once("BEGIN", twice)}
		_, x := open(h)
		x.query("BEGIN")
		a := x.query("WRITE k v")
		Expect(a.result).To(HavePrefix("ERROR ABORTED"))
		Expect(a.state).To(Equal("E"))
		Expect(x.query("ROLLBACK").state).To(Equal("I"))
		expectRead(x, "k")
	})

	// Guards against a commit that is acknowledged with the answer to a write, and is sent although the
	// answers on the link cannot be told apart.
	It("ends a transaction before its commit is sent", func() {
		h := &numberedHome{respond: once("WRITE k v", twice)}
		entry, x := open(h)
		x.query("BEGIN")
		Expect(x.query("WRITE k v").isServed()).To(BeTrue())
		a := x.query("COMMIT")
		Expect(a.result).To(HavePrefix("ERROR ABORTED"))
		Expect(a.state).To(Equal("I"))
		Expect(h.hasReceived("COMMIT")).To(BeFalse())
		Expect(outOfTurn(entry)).To(BeNumerically("==", 1))
		expectRead(x, "k")
	})

	// Guards against a commit that is acknowledged with the late repeat of the answer to a write.
	It("is not taken for that to a commit", func() {
		h := &numberedHome{respond: once("COMMIT", afterRepeated)}
		_, x := open(h)
		x.query("BEGIN")
		Expect(x.query("WRITE k v").isServed()).To(BeTrue())
		Expect(x.query("COMMIT").result).To(HavePrefix("ERROR INDOUBT"))
		expectRead(x, "k")
	})

	// Guards against a statement that is answered with the answer to the rollback before it.
	It("is not taken for that to a rollback", func() {
		late := ""
		h := &numberedHome{respond: func(text, before, answer string) string {
			if text == "ROLLBACK" {
				late = answer
				return before
			}
			if before != "" {
				answer = late + answer
			}
			late = ""
			return answer
		}}
		entry, x := open(h)
		x.query("BEGIN")
		Expect(x.query("WRITE k v").isServed()).To(BeTrue())
		Expect(x.query("ROLLBACK").state).To(Equal("I"))
		expectRead(x, "k")
		Expect(outOfTurn(entry)).To(BeNumerically("==", 1))
	})

	// Guards against a statement that runs in the transaction before it, which its home did not roll back.
	It("is not that to a rollback if the transaction is still open", func() {
		newLink := false
		h := &numberedHome{respond: func(text, before, answer string) string {
			if text == "READ k" {
				newLink = before == ""
			}
			if text == "ROLLBACK" {
				return strings.Replace(answer, "READY I", "READY T", 1)
			}
			return answer
		}}
		_, x := open(h)
		x.query("BEGIN")
		Expect(x.query("WRITE k v").isServed()).To(BeTrue())
		Expect(x.query("ROLLBACK").state).To(Equal("I"))
		expectRead(x, "k")
		Expect(newLink).To(BeTrue())
	})

	// Guards against an unsolicited answer that waits for the first statement on a link.
	It("is not taken for that to the first statement", func() {
		h := &numberedHome{greeting: "ANSWER 1\r\nDATAROW other\r\nCOMPLETE r.home.other\r\nREADY I 1.9\r\n"}
		entry, x := open(h)
		Expect(x.query("WRITE k v").result).To(HavePrefix("ERROR BUSY not run: "))
		Expect(h.hasReceived("WRITE k v")).To(BeFalse())
		Expect(outOfTurn(entry)).To(BeNumerically(">", 0))
	})

	// Guards against an answer that is completed with a part of the next one.
	It("does not complete an answer that was cut", func() {
		h := &numberedHome{respond: once("SET zone jst", withoutEnd)}
		_, x := open(h)
		x.query("SET zone jst")
		Expect(x.query("WRITE k v").result).To(HavePrefix("ERROR INDOUBT"))
		expectRead(x, "k")
	})

	// Guards against a second home whose repeated answer wins over the first home's.
	It("is not taken for that of a second home to a read", func() {
		sets := 0
		h := &numberedHome{respond: func(text, _, answer string) string {
			switch text {
			case "SET zone jst":
				if sets++; sets == 2 {
					return answer + answer
				}
			case "READ k":
				return ""
			}
			return answer
		}}
		entry := entryServedBy(h.serve, withShortRoute)
		entry.keepAlive("edge-8")
		entry.keepAlive("edge-9")
		entry.observeFastReads("db-primary")
		x := entry.dial("db-primary")
		x.query("SET zone jst")
		Expect(x.query("READ k").result).To(HavePrefix("ERROR TIMEOUT may have run"))
		Expect(entry.hedgeCount("slower than usual")).To(Equal("1"))
		Expect(outOfTurn(entry)).To(BeNumerically("==", 1))
	})

	// Guards against the same at a home that does not number its answers, as long as the answer comes before the
	// next statement is sent.
	It("is not taken for that to the next statement if the home does not number its answers", func() {
		h := &numberedHome{unnumbered: true, respond: func(text, _, answer string) string {
			if text == "BEGIN" || text == "ROLLBACK" {
				return answer
			}
			return answer + answer
		}}
		entry, x := open(h)
		expectRead(x, "k1")
		Expect(x.query("WRITE k2 v").isServed()).To(BeTrue())
		x.query("BEGIN")
		Expect(x.query("WRITE k3 v").isServed()).To(BeTrue())
		Expect(x.query("COMMIT").result).To(HavePrefix("ERROR ABORTED"))
		expectRead(x, "k4")
		Expect(outOfTurn(entry)).To(BeNumerically("==", 3))
	})
})

// forwarded opens a session at a home like an entry.
func (d *daemon) forwarded(numbered bool) *caller {
	c, err := net.Dial("tcp", d.s.LinkAddr(d.s.IP))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	_, err = protodelim.MarshalTo(c, &reportpb.Hello{Database: "db-primary", Entry: "edge-9", NumberedAnswers: numbered})
	Expect(err).NotTo(HaveOccurred())
	x := &caller{c: c, r: bufio.NewReader(c)}
	var welcome reportpb.Welcome
	Expect(protodelim.UnmarshalFrom(x.r, &welcome)).To(Succeed())
	Expect(welcome.Refused).To(BeEmpty())
	Expect(welcome.NumberedAnswers).To(Equal(numbered))
	return x
}

func (x *caller) expectLines(lines ...string) {
	GinkgoHelper()
	for _, line := range lines {
		Expect(x.line()).To(MatchRegexp("^" + line + "$"))
	}
}

var _ = Describe("a home", func() {
	It("numbers the answers to an entry that asks for numbers", func() {
		f := newFleet(1)
		d := f.daemons[0]
		d.dial("db-primary").queryUntilServed("WRITE k 1")
		x := d.forwarded(true)
		x.send("QUERY entry SET zone jst\r\nQUERY a1 READ k")
		x.expectLines("ANSWER 1", "COMPLETE -", "READY I -", "ANSWER 2", "DATAROW 1", "COMPLETE r.*", "READY I .*")
		d.stop()
		x.expectLines("TERMINATE")
		x.send("QUERY a2 READ k")
		x.expectLines("ANSWER 3", "DATAROW 1", "COMPLETE r.*", "READY I .*")
		x.send("NONSENSE")
		x.expectLines("ANSWER 4", "ERROR MALFORMED .*", "closed")
	})

	// Guards against numbers that an entry of an earlier version takes for a malformed answer.
	It("does not number the answers to an entry that does not ask for numbers", func() {
		f := newFleet(1)
		d := f.daemons[0]
		d.dial("db-primary").queryUntilServed("WRITE k 1")
		x := d.forwarded(false)
		x.send("QUERY entry SET zone jst\r\nQUERY a1 READ k")
		x.expectLines("COMPLETE -", "READY I -", "DATAROW 1", "COMPLETE r.*", "READY I .*")
	})

	It("numbers a refusal that follows a request to move the session", func() {
		s := &session{p: &Proxy{stats: newStats()}, fromEntry: true, answers: pipeline.NewAnswers(true)}
		s.beginAnswer()
		s.redirectEntry()
		s.answerError("BUSY", "x")
		Expect(string(s.out)).To(Equal("ANSWER 1\r\nTERMINATE\r\nERROR BUSY x\r\nREADY I -\r\n"))
	})
})

var _ = Describe("a numbered answer on a link", func() {
	DescribeTable("may be preceded by a request to move the session", func(received string, move bool) {
		l := &link{r: platform.NewReader(strings.NewReader(received)), requests: pipeline.NewRequests(true)}
		l.requests.Sent(1)
		a, err := l.readAnswer(&session{})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Code).To(Equal("BUSY"))
		Expect(l.moveRequested).To(Equal(move))
		Expect(l.requests.Idle()).To(BeTrue())
	},
		Entry("not", "ANSWER 1\r\nERROR BUSY x\r\nREADY I -\r\n", false),
		Entry("before its number", "TERMINATE\r\nANSWER 1\r\nERROR BUSY x\r\nREADY I -\r\n", true),
		Entry("behind its number", "ANSWER 1\r\nTERMINATE\r\nERROR BUSY x\r\nREADY I -\r\n", true),
	)
})
