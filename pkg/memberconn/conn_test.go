package memberconn_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/correlate"
	"limpetspan/core/stmtcache"
	"limpetspan/pkg/memberconn"
	"limpetspan/platform"
)

func TestMemberconn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memberconn")
}

// waitLimit bounds an exchange. It is not a requirement on speed.
const waitLimit = 20 * time.Second

// observer records what a connection reports.
type observer struct{ events []string }

func (o *observer) SurplusAnswer(got, expected correlate.Kind) {
	o.events = append(o.events, fmt.Sprintf("surplus %v for %v", got, expected))
}

func (o *observer) Confirmed(got correlate.Kind) {
	o.events = append(o.events, fmt.Sprintf("%v confirmed", got))
}

func (o *observer) Refuted(got, instead correlate.Answer) {
	o.events = append(o.events, fmt.Sprintf("%v not confirmed: %v", got.Kind, instead.Kind))
}

// connection is a connection to a fake member.
type connection struct {
	*memberconn.Conn
	*observer
	member *fakeMember
}

func connect(m *fakeMember) *connection {
	GinkgoHelper()
	o := &observer{}
	c, err := memberconn.Dial(memberconn.Target{Addr: m.listener.Addr().String(), Group: "ledger", Member: "i-1"}, stmtcache.Limits{Statements: 8, Bytes: 1 << 10}, o, waitLimit)
	Expect(err).To(BeNil())
	DeferCleanup(c.Close)
	return &connection{c, o, m}
}

func deadline() time.Time { return time.Now().Add(waitLimit) }

func (c *connection) run(id, text string) (platform.Answer, error) {
	a, _, err := c.Run(memberconn.Statement{ID: id, Text: text}, deadline())
	return a, err
}

var _ = Describe("a statement on a connection to a member", func() {
	var (
		m *fakeMember
		c *connection
	)
	BeforeEach(func() {
		m = startMember()
		DeferCleanup(m.listener.Close)
		c = connect(m)
	})

	// repeatBefore repeats the last answer to one statement right before each answer to another one.
	repeatBefore := func(text, later string) {
		given := ""
		m.surplus = func(_ []string, t, answer string) (before, after []string) {
			if t == later && given != "" {
				before = []string{given}
			}
			if t == text {
				given = answer
			}
			return before, nil
		}
	}

	// Guards against the answer to the statement before, which the member has given twice.
	It("gets the answer with its own receipt", func() {
		repeatBefore("READ k", "WRITE k 1")
		_, err := c.run("c1.1", "READ k")
		Expect(err).NotTo(HaveOccurred())
		Expect(c.IsReusable()).To(BeTrue())
		a, err := c.run("c2.1", "WRITE k 1")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Receipt).To(Equal(m.receipts["c2.1"]))
		Expect(c.events).To(Equal([]string{"surplus receipt for receipt"}))
		Expect(c.IsReusable()).To(BeTrue())
	})

	// Guards against a repeat of the greeting, which has no message before READY.
	It("gets its answer after a second greeting", func() {
		m.surplus = func(given []string, text, _ string) (before, after []string) {
			if text == "READ k" {
				before = given[:1]
			}
			return before, nil
		}
		a, err := c.run("c1.1", "READ k")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Receipt).To(Equal(m.receipts["c1.1"]))
		Expect(c.events).To(Equal([]string{"surplus greeting for receipt"}))
	})

	// Guards against a write that is reported as not run because of the refusal of an earlier statement.
	It("is not taken for refused when an earlier refusal is repeated", func() {
		m.refuses = func(id, _ string) string { return map[string]string{"c1.1": "BUSY"}[id] }
		repeatBefore("WRITE k 1", "WRITE k 2")
		a, err := c.run("c1.1", "WRITE k 1")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Code).To(Equal("BUSY"))
		_, err = c.run("c2.1", "READ k")
		Expect(err).NotTo(HaveOccurred())
		a, err = c.run("c2.2", "WRITE k 2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Receipt).To(Equal(m.receipts["c2.2"]))
	})

	// Guards against a new connection for each refusal of an overloaded member.
	It("keeps its connection when it is refused", func() {
		m.refuses = func(id, _ string) string { return map[string]string{"c1.1": "BUSY", "c1.2": "BUSY"}[id] }
		for _, id := range []string{"c1.1", "c1.2"} {
			a, err := c.run(id, "WRITE k 1")
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Code).To(Equal("BUSY"))
			Expect(c.IsReusable()).To(BeTrue())
		}
		Expect(c.events).To(Equal([]string{"refusal confirmed", "refusal confirmed"}))
	})

	// Guards against a statement that runs with the values of another session after a repeated acknowledgement.
	It("runs with its session's values although an acknowledgement is repeated", func() {
		repeatBefore("SET mode strict", "READ k")
		Expect(c.SyncState(map[string]string{"mode": "strict"}, memberconn.Prepared{}, deadline())).To(Succeed())
		a, err := c.run("c1.1", "READ k")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Receipt).To(Equal(m.receipts["c1.1"]))
	})

	// Guards against a status row that becomes the answer to a caller's statement, and against one that is
	// older than the question.
	It("and a command get their own answers when a status is repeated", func() {
		repeatBefore("STATUS", "STATUS")
		for n := range 3 {
			m.status.Store(int64(n))
			a, err := c.Command("STATUS", deadline())
			if err == nil {
				Expect(a.FirstRow).To(Equal(fmt.Sprintf("replica 3 3.%d 0 0 0 1", n)))
			}
		}
		c = connect(m)
		repeatBefore("STATUS", "READ k")
		_, err := c.Command("STATUS", deadline())
		Expect(err).NotTo(HaveOccurred())
		a, err := c.run("c1.1", "READ k")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Receipt).To(Equal(m.receipts["c1.1"]))
	})

	// Guards against an answer with a receipt that no statement had, which has come while the connection rested.
	It("gets its own answer after one that nobody asked for", func() {
		_, err := m.conn().Write([]byte("DATAROW 1\r\nCOMPLETE unasked\r\nREADY I 3.1\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(c.HasUnread, waitLimit).Should(BeTrue())
		a, err := c.run("c1.1", "READ k")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Receipt).To(Equal(m.receipts["c1.1"]))
		Expect(c.events).To(Equal([]string{"surplus receipt for nothing"}))
		Expect(c.IsReusable()).To(BeFalse())
	})

	// Guards against a write in doubt that was sent on a connection which the member had closed.
	It("is not sent on a connection that the member has closed", func() {
		Expect(m.conn().Close()).To(Succeed())
		Eventually(func() error { _, err := c.HasUnread(); return err }, waitLimit).Should(HaveOccurred())
		_, sent, err := c.Run(memberconn.Statement{ID: "c1.1", Text: "WRITE k 1"}, deadline())
		Expect(err).To(HaveOccurred())
		Expect(sent).To(BeFalse())
	})

	// Guards against a write that runs by itself because an older acknowledgement hid that its transaction was
	// refused.
	It("does not run in a transaction whose beginning was refused", func() {
		_, _, err := c.Begin(platform.TextBegin, core.Position{}, deadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Rollback(deadline())).To(Succeed())
		m.refuses = func(_, text string) string { return map[string]string{platform.TextBegin: "BUSY"}[text] }
		m.surplus = func(given []string, text, _ string) (before, after []string) {
			if text == platform.TextBegin {
				return given[1:2], nil
			}
			return nil, nil
		}
		_, _, err = c.Begin(platform.TextBegin, core.Position{}, deadline())
		Expect(err).To(MatchError(memberconn.ErrOutOfStep))
	})

	It("does not run in a transaction that is refused", func() {
		m.refuses = func(_, text string) string { return map[string]string{platform.TextBegin: "READONLY"}[text] }
		a, _, err := c.Begin(platform.TextBegin, core.Position{}, deadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Code).To(Equal("READONLY"))
		Expect(c.IsReusable()).To(BeTrue())
	})

	// Guards against a transaction that stays open at the member after a refusal, so that the next one cannot begin.
	It("ends its transaction when it is refused", func() {
		m.refuses = func(id, _ string) string { return map[string]string{"c1.1": "BUSY"}[id] }
		for n := range 2 {
			_, _, err := c.Begin(platform.TextBegin, core.Position{}, deadline())
			Expect(err).NotTo(HaveOccurred(), "transaction %d", n)
			a, err := c.run("c1.1", "WRITE k 1")
			Expect(err).NotTo(HaveOccurred())
			Expect([]any{a.Code, a.State}).To(Equal([]any{"BUSY", byte(platform.StateIdle)}))
			Expect(c.IsReusable()).To(BeTrue())
		}
	})

	// Guards against markers that are equal, so that the repeat of one passes for the next.
	It("is confirmed by markers that differ", func() {
		sequences := map[string]bool{}
		for range 64 {
			before := len(m.texts)
			_, err := c.Command("STATUS", deadline())
			Expect(err).NotTo(HaveOccurred())
			sequences[strings.Join(m.texts[before:], "; ")] = true
		}
		Expect(len(sequences)).To(BeNumerically(">", 2))
	})

	// Guards against a commit whose answer is taken for that of the transaction's beginning.
	It("ends its transaction with its own receipt", func() {
		m.surplus = drawSurplus(rand.New(rand.NewPCG(7, 1)), 0.4)
		for n := range 20 {
			c = connect(m)
			if _, _, err := c.Begin(platform.TextBegin, core.Position{}, deadline()); err != nil {
				continue
			}
			id := fmt.Sprintf("c1.%d", n)
			if a, err := c.run(id, "COMMIT"); err == nil {
				Expect(a.Receipt).To(Equal(m.receipts[id]))
			}
		}
	})

	DescribeTable("gets its own answer or none, whatever is repeated",
		func(share float64) {
			served, unproved := 0, 0
			for seed := range uint64(200) {
				random := rand.New(rand.NewPCG(seed, 1))
				m := startMember()
				m.surplus = drawSurplus(random, share)
				m.refuses = func(id, _ string) string {
					if id != platform.ProxyStatementID && random.Float64() < 0.3 {
						return []string{"BUSY", "LAGGING", "FAILED"}[random.IntN(3)]
					}
					return ""
				}
				s, u := playStatements(connect(m), rand.New(rand.NewPCG(seed, 2)), fmt.Sprint(seed))
				served, unproved = served+s, unproved+u
				_ = m.listener.Close()
			}
			GinkgoWriter.Printf("share %v: %d answered, %d connections ended\n", share, served, unproved)
			Expect(served).To(BeNumerically(">", 0))
		},
		Entry("nothing", 0.0), Entry("few answers", 0.05), Entry("many answers", 0.5),
	)
})

// playStatements runs statements until the connection is given up, and checks each answer.
func playStatements(c *connection, random *rand.Rand, name string) (answered, ended int) {
	for n := range 40 {
		id := fmt.Sprintf("c%s.%d", name, n)
		c.member.status.Add(1)
		var err error
		switch random.IntN(4) {
		case 0:
			var a platform.Answer
			if a, err = c.Command("STATUS", deadline()); err == nil {
				Expect(a.FirstRow).To(HavePrefix(fmt.Sprintf("replica 3 3.%d ", c.member.status.Load())), name)
			}
		case 1:
			if _, _, err = c.Begin(platform.TextBegin, core.Position{}, deadline()); err == nil {
				err = c.checkRun(id, "COMMIT")
			}
		default:
			err = c.checkRun(id, "WRITE k 1")
		}
		if err != nil {
			return answered, 1
		}
		answered++
	}
	return answered, 0
}

// checkRun runs the statement and checks its answer.
func (c *connection) checkRun(id, text string) error {
	a, err := c.run(id, text)
	c.member.mu.Lock()
	defer c.member.mu.Unlock()
	switch {
	case err != nil:
		return err
	case a.Code != "":
		Expect(a.Code).To(Equal(c.member.codes[id]), id)
	default:
		Expect(a.Receipt).To(Equal(c.member.receipts[id]), id)
		Expect(strings.TrimSpace(string(a.Body))).To(Equal("COMPLETE "+c.member.receipts[id]), id)
	}
	return nil
}
