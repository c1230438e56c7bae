package front

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const waitLimit = 20 * time.Second

// rig is a server in front of a fake handler.
type rig struct {
	handler *fakeHandler
	server  *Server
	address string
	served  chan error
}

const testPassword = "a secret: with a colon"

func startRig(change func(*Options)) *rig {
	GinkgoHelper()
	users := NewUsers()
	Expect(users.Set("app", testPassword)).To(Succeed())
	r := &rig{handler: newFakeHandler(), served: make(chan error, 1)}
	options := Options{Handler: r.handler, Daemon: "d1", Users: users}
	if change != nil {
		change(&options)
	}
	var err error
	r.server, err = New(options)
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { r.served <- r.server.Serve(ctx, listener) }()
	DeferCleanup(func() {
		cancel()
		Eventually(r.served, waitLimit).Should(Receive())
	})
	return r
}

func (r *rig) config(change func(*pgx.ConnConfig)) *pgx.ConnConfig {
	GinkgoHelper()
	config, err := pgx.ParseConfig("postgres://app@" + r.address + "/app?sslmode=disable")
	Expect(err).NotTo(HaveOccurred())
	config.Password = testPassword
	if change != nil {
		change(config)
	}
	return config
}

func (r *rig) connect(change func(*pgx.ConnConfig)) *pgx.Conn {
	GinkgoHelper()
	conn, err := pgx.ConnectConfig(context.Background(), r.config(change))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { conn.Close(context.Background()) })
	return conn
}

// query returns the text of the one row.
func query(conn *pgx.Conn, sql string, arguments ...any) (string, error) {
	var text string
	err := conn.QueryRow(context.Background(), sql, arguments...).Scan(&text)
	return text, err
}

// haveState matches an error with a SQLSTATE and parts of its DETAIL.
func haveState(state string, detail ...string) OmegaMatcher {
	return WithTransform(func(err error) string {
		var e *pgconn.PgError
		if !errors.As(err, &e) {
			return "no PgError"
		}
		for _, d := range detail {
			if !strings.Contains(e.Detail, d) {
				return "detail: " + e.Detail
			}
		}
		return e.Code
	}, Equal(state))
}

var _ = Describe("A pgx client", func() {
	It("runs simple, extended and prepared statements after SCRAM", func() {
		r := startRig(nil)
		conn := r.connect(nil)
		Expect(conn.PgConn().ParameterStatus("client_encoding")).To(Equal("UTF8"))
		Expect(query(conn, "SELECT 'simple'", pgx.QueryExecModeSimpleProtocol)).To(Equal("SELECT 'simple'"))
		Expect(query(conn, "SELECT $1::text", pgx.QueryExecModeExec, "x")).To(Equal("SELECT $1::text"))
		Expect(query(conn, "SELECT $1::text", pgx.QueryExecModeDescribeExec, "x")).To(Equal("SELECT $1::text"))
		_, err := conn.Prepare(context.Background(), "s1", "/*kind='lot',read='true'*/ SELECT 'prepared'")
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			Expect(query(conn, "s1")).To(ContainSubstring("prepared"))
			last := r.handler.last()
			Expect(last.Kind).To(Equal("lot"))
			Expect(last.Read).To(BeTrue())
			Expect(last.Prepared).To(HaveLen(1))
		}
		Expect(conn.Deallocate(context.Background(), "s1")).To(Succeed())
		Expect(conn.DeallocateAll(context.Background())).To(Succeed())
		result := conn.PgConn().ExecPrepared(context.Background(), "s1", nil, nil, nil).Read()
		Expect(result.Err).To(haveState("26000", "outcome=not_run"))
	})

	It("settles its directives by SET, SHOW and RESET in either protocol", func() {
		r := startRig(nil)
		conn := r.connect(func(c *pgx.ConnConfig) {
			c.RuntimeParams["options"] = `-c limpetspan.kind=lot --limpetspan.max-staleness=2s`
			c.RuntimeParams["limpetspan.version"] = "7"
			c.RuntimeParams["application_name"] = "test"
		})
		own, err := query(conn, "SHOW limpetspan.session")
		Expect(err).NotTo(HaveOccurred())
		Expect(own).NotTo(BeEmpty())
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement} {
			_, err = conn.Exec(context.Background(), "SET limpetspan.session TO 'abc'", mode)
			Expect(err).NotTo(HaveOccurred())
			Expect(query(conn, "SHOW limpetspan.session", mode)).To(Equal("abc"))
			_, err = conn.Exec(context.Background(), "RESET limpetspan.session", mode)
			Expect(err).NotTo(HaveOccurred())
			Expect(query(conn, "SHOW limpetspan.session", mode)).To(Equal(own))
		}
		Expect(query(conn, "/*max_staleness='3s',deadline='5s'*/ SELECT 1")).Error().NotTo(HaveOccurred())
		last := r.handler.last()
		Expect(last.Kind + last.Version + string(last.Session)).To(Equal("lot7" + own))
		Expect(last.MaxStaleness).To(Equal(3 * time.Second))
		Expect(last.Timeout).To(Equal(5 * time.Second))
	})

	It("cancels its running request", func() {
		r := startRig(nil)
		conn := r.connect(nil)
		failed := make(chan error, 1)
		go func() {
			_, err := conn.PgConn().Exec(context.Background(), "WAIT").ReadAll()
			failed <- err
		}()
		Eventually(func() int { _, n, _ := r.handler.counts(); return n }, waitLimit).Should(Equal(1))
		Expect(conn.PgConn().CancelRequest(context.Background())).To(Succeed())
		Eventually(failed, waitLimit).Should(Receive(haveState("57014", "outcome=not_run step=home.queue")))
		Expect(query(conn, "SELECT 1")).Error().NotTo(HaveOccurred())
	})
})
