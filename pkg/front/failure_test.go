package front

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A planned stop", func() {
	// An operator stops a daemon while one rider's request runs, another is
	// inside a transaction and a third is idle. The idle one must be told at
	// once to connect elsewhere, the others must get their complete answers, and
	// the daemon must end by itself.
	It("closes idle callers at once and cuts off nothing in flight", func() {
		r := startRig(trust)
		idle, running, inside := r.connectRaw(), r.connectRaw(), r.connectRaw()
		Expect(inside.query("BEGIN").Status).To(Equal(byte('T')))
		running.write(encode(&pgproto3.Query{String: "WAIT"}))
		Eventually(func() int { _, n, _ := r.handler.counts(); return n }, waitLimit).Should(Equal(1))

		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- r.server.Shutdown(ctx) }()
		Expect(idle.fatal()).To(Equal("57P01"))
		Expect(net.Dial("tcp", r.address)).Error().To(HaveOccurred())

		Expect(inside.query("SELECT 1").Status).To(Equal(byte('T')))
		Expect(inside.query("COMMIT").Status).To(Equal(byte('I')))
		Expect(inside.fatal()).To(Equal("57P01"))
		close(r.handler.release)
		Expect(running.untilReady().Rows).To(Equal([]string{"WAIT"}))
		Expect(running.fatal()).To(Equal("57P01"))
		Eventually(stopped, waitLimit).Should(Receive(BeNil()))
	})

	// A planned stop may begin before the daemon's start has come to serving callers. Guards against
	// a daemon that ends with an error although it was asked to stop.
	It("ends without an error when it begins before serving", func() {
		server, err := New(Options{Handler: newFakeHandler(), Daemon: "d1", Users: NewUsers()})
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Shutdown(context.Background())).To(Succeed())
		Expect(server.Serve(context.Background(), listener)).To(Succeed())
		Expect(net.Dial("tcp", listener.Addr().String())).Error().To(HaveOccurred())
	})

	It("cuts off what has not ended in time", func() {
		r := startRig(trust)
		stuck := r.connectRaw()
		stuck.write(encode(&pgproto3.Query{String: "WAIT"}))
		Eventually(func() int { _, n, _ := r.handler.counts(); return n }, waitLimit).Should(Equal(1))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(r.server.Shutdown(ctx)).To(MatchError(context.Canceled))
		Expect(stuck.frontend.Receive()).Error().To(HaveOccurred())
	})
})

var _ = Describe("A caller that hangs up", func() {
	// A rider closes the app while the request waits for a connection. The
	// home must hear of it at once, or the scarce connection is spent on an
	// answer that nobody reads. Bytes that were sent ahead must not hide it.
	It("is reported while its request runs, also behind pipelined bytes", func() {
		r := startRig(trust)
		c := r.connectRaw()
		c.write(encode(&pgproto3.Query{String: "WAIT"}, &pgproto3.Query{String: "SELECT 2"}, &pgproto3.Terminate{}))
		Eventually(func() int { _, n, _ := r.handler.counts(); return n }, waitLimit).Should(Equal(1))
		c.conn.Close()
		Eventually(func() int { _, _, n := r.handler.counts(); return n }, waitLimit).Should(BeNumerically(">", 0))
		Eventually(r.callers, waitLimit).Should(BeZero())
		requests, _, _ := r.handler.counts()
		Expect(requests).To(Equal(1))
	})
})

var _ = Describe("A transaction that limpetspan fails", func() {
	// A gate terminal pipelines BEGIN, a charge, a second charge and COMMIT
	// without looking at the answers. The first charge is shed, or its
	// connection breaks. Were the status 'I' or 'T' after that, the second
	// charge would be committed without the first.
	DescribeTable("lets nothing of the rest run", func(failing string, reachesTarget []string) {
		r := startRig(trust)
		c := r.connectRaw()
		var batch []byte
		for _, sql := range []string{"BEGIN", failing, "INSERT 2", "COMMIT", "SELECT 3"} {
			batch = append(batch, encode(&pgproto3.Query{String: sql})...)
		}
		c.write(batch)
		Expect(c.untilReady().Status).To(Equal(byte('T')))
		Expect(c.untilReady()).To(HaveField("Status", byte('E')))
		Expect(c.untilReady()).To(And(HaveField("State", "25P02"), HaveField("Status", byte('E'))))
		Expect(c.untilReady()).To(And(HaveField("Tags", []string{"ROLLBACK"}), HaveField("Status", byte('I'))))
		Expect(c.untilReady().Rows).To(Equal([]string{"SELECT 3"}))
		var texts []string
		for _, request := range r.handler.requests {
			texts = append(texts, string(request.Messages[5:len(request.Messages)-1]))
		}
		Expect(texts).To(Equal(reachesTarget))
	},
		Entry("when a statement is shed", "SHED", []string{"BEGIN", "SHED", "ROLLBACK", "SELECT 3"}),
		Entry("when its connection is lost", "LOSE", []string{"BEGIN", "LOSE", "SELECT 3"}),
		Entry("when a statement is refused by the front", "LISTEN x", []string{"BEGIN", "ROLLBACK", "SELECT 3"}),
	)

	// The terminal sends the COMMIT and the next charge in one Query. Answering
	// only the COMMIT would drop the charge without a word.
	It("drops nothing that stands behind its end", func() {
		r := startRig(trust)
		c := r.connectRaw()
		c.query("BEGIN")
		c.query("SHED")
		for _, sql := range []string{"COMMIT; INSERT 2", "COMMIT AND CHAIN"} {
			Expect(c.query(sql)).To(And(HaveField("State", "25P02"), HaveField("Status", byte('E'))))
		}
		Expect(c.query("ROLLBACK").Status).To(Equal(byte('I')))
	})

	It("is over when its end is lost", func() {
		r := startRig(trust)
		c := r.connectRaw()
		c.query("BEGIN")
		Expect(c.query("END")).To(And(HaveField("State", "08006"), HaveField("Status", byte('I'))))
		Expect(c.query("BEGIN").Status).To(Equal(byte('T')))
	})

	It("goes on after ROLLBACK TO while it lives", func() {
		r := startRig(trust)
		c := r.connectRaw()
		c.query("BEGIN")
		Expect(c.query("SHED").Status).To(Equal(byte('E')))
		Expect(c.query("ROLLBACK TO SAVEPOINT a").Status).To(Equal(byte('T')))
		Expect(c.query("SELECT 1").Status).To(Equal(byte('T')))
	})
})

var _ = Describe("An answer that breaks off", func() {
	// The connection to the target breaks inside a row. An error message
	// behind half a row would be read as part of the row, and every later
	// answer would reach the wrong request: the connection must end.
	It("ends the connection when it breaks inside a message", func() {
		r := startRig(trust)
		c := r.connectRaw()
		c.write(encode(&pgproto3.Query{String: "CUT"}))
		got, err := io.ReadAll(c.conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(brokenRow))
	})

	It("is ended by the error between messages, and the connection goes on", func() {
		r := startRig(trust)
		c := r.connectRaw()
		Expect(c.query("SHED")).To(And(HaveField("State", "53300"),
			HaveField("Detail", "outcome=not_run step=home.queue peer=d2 retry_after_ms=1000"), HaveField("Status", byte('I'))))
		Expect(c.query("SELECT 1").Rows).To(HaveLen(1))
	})
})

var _ = Describe("Bad input", func() {
	long := strings.Repeat("x", 3000)
	DescribeTable("ends its own connection at most", func(first []byte, state string) {
		r := startRig(func(o *Options) {
			trust(o)
			o.MaxMessage, o.MaxBatch = 1000, 2000
			o.Databases = []string{"app"}
		})
		other := r.connectRaw()
		bad := r.dialRaw()
		bad.write(first)
		Expect(bad.untilFatal()).To(Equal(state))
		Expect(other.query("SELECT 1").Rows).To(Equal([]string{"SELECT 1"}))
	},
		Entry("an HTTP request", []byte("GET / HTTP/1.1\r\n\r\n"), "08P01"),
		Entry("an old protocol", []byte{0, 0, 0, 8, 0, 2, 0, 0}, "0A000"),
		Entry("a startup without a user", startup(map[string]string{"database": "app"}), "28000"),
		Entry("an unknown database", startup(map[string]string{"user": "app", "database": "x"}), "3D000"),
		Entry("an unterminated startup", []byte{0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'}, "08P01"),
		Entry("a foreign setting", startup(map[string]string{"user": "app", "search_path": "x"}), "0A000"),
		Entry("an unknown directive", startup(map[string]string{"user": "app", "options": "-c limpetspan.x=1"}), "42704"),
		Entry("a malformed directive", startup(map[string]string{"user": "app", "limpetspan.deadline": "soon"}), "22023"),
		Entry("an unknown message type", append(started(), "garbage"...), "08P01"),
		Entry("a length below its own size", append(started(), frame('Q', 3, "")...), "08P01"),
		Entry("a huge length", append(started(), frame('Q', 1<<30, "")...), "08P01"),
		Entry("an oversize batch", append(started(), strings.Repeat(string(encode(&pgproto3.Describe{ObjectType: 'S', Name: long[:900]})), 3)...), "54000"),
	)

	It("gives the same error for an unknown user and a wrong password", func() {
		r := startRig(nil)
		for _, user := range []string{"app", "nobody"} {
			_, err := pgx.ConnectConfig(context.Background(), r.config(func(c *pgx.ConnConfig) { c.User, c.Password = user, "wrong" }))
			Expect(err).To(haveState("28P01", "outcome=not_run"))
		}
		r.connect(nil)
	})

	It("closes half-closed connections", func() {
		r := startRig(trust)
		for _, c := range []*rawClient{r.dialRaw(), r.connectRaw()} {
			c.write([]byte{'Q', 0})
			Expect(c.conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			Expect(c.frontend.Receive()).Error().To(HaveOccurred())
		}
		Expect(r.connectRaw().query("SELECT 1").Rows).To(HaveLen(1))
	})

	It("gives up a startup that stalls", func() {
		r := startRig(func(o *Options) { trust(o); o.StartupTimeout = 50 * time.Millisecond })
		c := r.dialRaw()
		c.write([]byte{0, 0})
		Expect(c.fatal()).To(Equal("28000"))
	})
})

// callers counts the connections.
func (r *rig) callers() int {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	return len(r.server.callers)
}

// started is a startup of a connection that is then misused.
func started() []byte { return startup(map[string]string{"user": "app"}) }

// untilFatal reads up to an error and returns its SQLSTATE.
func (c *rawClient) untilFatal() string {
	GinkgoHelper()
	var a rawAnswer
	for a.State == "" {
		c.next(&a)
	}
	Expect(c.frontend.Receive()).Error().To(HaveOccurred())
	return a.State
}

var _ = Describe("The limits", func() {
	It("refuse a caller above them with the time to come back, and let a cancel through", func() {
		r := startRig(func(o *Options) { o.MaxConnections = 2; o.MaxPerUser = 1 })
		conn := r.connect(nil)
		_, err := pgx.ConnectConfig(context.Background(), r.config(nil))
		Expect(err).To(haveState("53300", "outcome=not_run", "retry_after_ms=1000"))
		Expect(conn.PgConn().CancelRequest(context.Background())).To(Succeed())
		Expect(conn.Close(context.Background())).To(Succeed())
		Eventually(func() error {
			again, err := pgx.ConnectConfig(context.Background(), r.config(nil))
			if err == nil {
				again.Close(context.Background())
			}
			return err
		}, waitLimit).Should(Succeed())
	})

	It("end an idle connection, but none in a transaction", func() {
		r := startRig(func(o *Options) { trust(o); o.IdleTimeout = 50 * time.Millisecond })
		inside, idle := r.connectRaw(), r.connectRaw()
		inside.write(encode(&pgproto3.Query{String: "BEGIN"}))
		inside.untilReady()
		Expect(idle.fatal()).To(Equal("57P05"))
		Expect(inside.query("SELECT 1").Status).To(Equal(byte('T')))
	})
})
