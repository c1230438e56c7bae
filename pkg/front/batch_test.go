package front

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// extended returns the messages that define, bind and run one statement.
func extended(name, sql string) []pgproto3.FrontendMessage {
	return append([]pgproto3.FrontendMessage{&pgproto3.Parse{Name: name, Query: sql}}, runPrepared(name)...)
}

func runPrepared(name string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}}
}

func (c *rawClient) batch(messages ...[]pgproto3.FrontendMessage) rawAnswer {
	GinkgoHelper()
	for _, m := range messages {
		c.write(encode(m...))
	}
	c.write(encode(&pgproto3.Sync{}))
	return c.untilReady()
}

var _ = Describe("A batch", func() {
	var (
		r *rig
		c *rawClient
	)
	BeforeEach(func() {
		r = startRig(trust)
		c = r.connectRaw()
	})
	requests := func() int { n, _, _ := r.handler.counts(); return n }

	It("remembers statements until they are closed", func() {
		Expect(c.batch(extended("a", "SELECT 'a'"), extended("", "SELECT 'u'")).Rows).To(Equal([]string{"SELECT 'a'", "SELECT 'u'"}))
		Expect(r.handler.last().Prepared).To(BeEmpty())
		Expect(c.batch(runPrepared("a"), runPrepared(""), runPrepared("a")).Rows).To(HaveLen(3))
		Expect(r.handler.last().Prepared).To(HaveLen(2))
		Expect(c.batch(extended("a", "SELECT 2")).State).To(Equal("42P05"))
		Expect(c.batch([]pgproto3.FrontendMessage{&pgproto3.Close{ObjectType: 'S', Name: "a"}}).Kinds).To(Equal("3Z"))
		Expect(c.batch(runPrepared("a")).State).To(Equal("26000"))
	})

	It("does not remember a statement whose Parse failed", func() {
		Expect(c.batch(extended("", "SELECT 1")).State).To(BeEmpty())
		Expect(c.batch(extended("good", "SELECT 1"), extended("", "BREAK"), extended("later", "SELECT 1")).State).To(Equal("42601"))
		Expect(c.batch(runPrepared("good")).Rows).To(HaveLen(1))
		Expect(c.batch(runPrepared("later")).State).To(Equal("26000"))
		Expect(c.batch(runPrepared("")).State).To(Equal("26000"))
	})

	It("bounds the statements that a connection keeps", func() {
		big := "SELECT '" + strings.Repeat("x", DefaultMaxPrepared/2) + "'"
		Expect(c.batch(extended("a", big)).State).To(BeEmpty())
		Expect(c.batch(extended("b", big)).State).To(Equal("54000"))
		Expect(c.query("DISCARD ALL").Tags).To(Equal([]string{"DISCARD ALL"}))
		Expect(c.batch(extended("b", big)).State).To(BeEmpty())
	})

	It("takes the cautious of differing directives and refuses contradicting ones", func() {
		answer := c.batch(extended("", "/*read='true',deadline='9s',max_staleness='5s'*/ SELECT 1"), extended("", "/*deadline='4s'*/ SELECT 2"))
		Expect(answer.State).To(BeEmpty())
		Expect(r.handler.last().Read).To(BeFalse())
		Expect(r.handler.last().MaxStaleness).To(BeZero())
		Expect(r.handler.last().Timeout.Seconds()).To(Equal(4.0))
		before := requests()
		answer = c.batch(extended("", "/*kind='a'*/ SELECT 1"), extended("", "/*kind='b'*/ SELECT 2"))
		Expect(answer.State + " " + answer.Detail).To(Equal("08P01 outcome=not_run step=front.directive peer=-"))
		Expect(c.batch(extended("", "SHOW limpetspan.kind"), extended("", "SELECT 2")).State).To(Equal("0A000"))
		Expect(requests()).To(Equal(before))
	})

	It("lets BEGIN take part in any batch, which then is no read", func() {
		const read = "/*kind='a',read='true',max_staleness='1s'*/ SELECT 1"
		Expect(c.batch(extended("", "BEGIN"), extended("", read)).Status).To(Equal(byte('T')))
		Expect(r.handler.last().Kind).To(Equal("a"))
		Expect(r.handler.last().Read).To(BeFalse())
		Expect(r.handler.last().MaxStaleness).To(BeZero())
		Expect(c.batch(extended("", read), extended("", "COMMIT")).State).To(BeEmpty())
		Expect(c.query("SET limpetspan.read = on").State).To(BeEmpty())
		Expect(c.batch(extended("", "BEGIN"), extended("", read)).State).To(BeEmpty())
		Expect(r.handler.last().Read).To(BeTrue())
	})

	It("does not use up a key by preparing", func() {
		c.batch([]pgproto3.FrontendMessage{&pgproto3.Parse{Name: "p", Query: "/*once='k'*/ INSERT"}})
		Expect(r.handler.last().Once).To(BeEmpty())
		c.batch(runPrepared("p"))
		Expect(r.handler.last().Once).To(Equal("k"))
	})

	It("answers a Flush after Parse and Describe, and refuses one after Execute", func() {
		describe := &pgproto3.Describe{ObjectType: 'S', Name: "f"}
		c.write(encode(&pgproto3.Parse{Name: "f", Query: "SELECT 1"}, describe, &pgproto3.Flush{}))
		var answer rawAnswer
		for !strings.HasSuffix(answer.Kinds, "T") {
			c.next(&answer)
		}
		Expect(answer.Kinds).To(Equal("1tT"))
		Expect(c.batch(runPrepared("f")).Kinds).To(Equal("2DCZ"))
		Expect(c.batch(runPrepared("f"), []pgproto3.FrontendMessage{&pgproto3.Flush{}}).Kinds).To(Or(Equal("2DCZ"), Equal("EZ")))
		c.write(encode(append(runPrepared("f"), &pgproto3.Flush{}, &pgproto3.Execute{})...))
		Expect(c.batch(runPrepared("f"))).To(And(HaveField("Kinds", "EZ"), HaveField("State", "0A000")))
	})

	It("drops what is left of a refused COPY and refuses a FunctionCall", func() {
		c.write(encode(&pgproto3.Query{String: "COPY t FROM STDIN"}, &pgproto3.CopyData{Data: []byte("1\n")}, &pgproto3.CopyDone{}))
		Expect(c.untilReady().State).To(Equal("0A000"))
		c.write(encode(&pgproto3.FunctionCall{}))
		Expect(c.untilReady().State).To(Equal("0A000"))
		Expect(c.query("SELECT 1").Rows).To(HaveLen(1))
		Expect(requests()).To(Equal(1))
	})

	It("answers an empty batch and a malformed one by itself", func() {
		Expect(c.batch().Kinds).To(Equal("Z"))
		c.write(frame('B', 5, "x"))
		Expect(c.batch().State).To(Equal("08P01"))
		c.write(frame('Q', 7, "abc"))
		Expect(c.untilReady().State).To(Equal("08P01"))
		Expect(requests()).To(BeZero())
	})

	It("passes a large batch and a large answer unchanged", func() {
		text := "SELECT '" + strings.Repeat("y", 3<<20) + "'"
		Expect(c.query(text).Rows).To(Equal([]string{text}))
		Expect(c.batch(extended("", text)).Rows).To(Equal([]string{text}))
	})
})

var _ = Describe("A cancel key", func() {
	It("carries the daemon's tag, and an unknown one goes elsewhere", func() {
		elsewhere := make(chan [2]uint32, 1)
		r := startRig(func(o *Options) {
			o.CancelElsewhere = func(pid, secret uint32) { elsewhere <- [2]uint32{pid, secret} }
		})
		conn := r.connect(nil)
		Expect(TagOf(conn.PgConn().PID())).To(Equal(KeyTag("d1")))
		Expect(r.server.CancelKey(conn.PgConn().PID(), 0)).To(BeFalse())
		foreign := uint32(KeyTag("d2"))<<keyNumberLen | 7
		r.dialRaw().write(encodeCancel(foreign, 9))
		Eventually(elsewhere, waitLimit).Should(Receive(Equal([2]uint32{foreign, 9})))
		Expect(conn.Ping(context.Background())).To(Succeed())
	})
})

func encodeCancel(pid, secret uint32) []byte {
	key := []byte{byte(secret >> 24), byte(secret >> 16), byte(secret >> 8), byte(secret)}
	b, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: key}).Encode(nil)
	Expect(err).NotTo(HaveOccurred())
	return b
}
