package target_test

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/standin/target"
)

var _ = Describe("transactions", func() {
	It("follow the protocol's states", func() {
		conn := dial(start(three()), "a", work)
		status := func() string { return string(conn.PgConn().TxStatus()) }
		exec(conn, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
		exec(conn, "BEGIN")
		Expect(status()).To(Equal("T"))
		exec(conn, "INSERT INTO t VALUES (1)")
		Expect(state(conn, "INSERT INTO t VALUES (1)")).To(Equal("23505"))
		Expect(status()).To(Equal("E"))
		Expect(state(conn, "SELECT 1")).To(Equal("25P02"))
		Expect(state(conn, "SELECT 1", pgx.QueryExecModeSimpleProtocol)).To(Equal("25P02"))
		Expect(exec(conn, "COMMIT")).To(Equal("ROLLBACK"))
		Expect(status()).To(Equal("I"))
		Expect(query[int](conn, "SELECT count(*) FROM t")).To(BeZero())

		exec(conn, "BEGIN")
		exec(conn, "SAVEPOINT s")
		exec(conn, "INSERT INTO t VALUES (2)")
		Expect(state(conn, "SELECT absent FROM t")).To(Equal("42703"))
		exec(conn, "ROLLBACK TO SAVEPOINT s")
		exec(conn, "INSERT INTO t VALUES (3)")
		Expect(exec(conn, "COMMIT")).To(Equal("COMMIT"))
		Expect(query[int](conn, "SELECT min(id) FROM t")).To(Equal(3))
	})

	It("make the statements of one message all or nothing", func() {
		conn := dial(start(three()), "a", work)
		exec(conn, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
		_, err := conn.PgConn().Exec(context.Background(), "INSERT INTO t VALUES (1); INSERT INTO t VALUES (1); SELECT 1").ReadAll()
		Expect(stateOf(err)).To(Equal("23505"))
		Expect(query[int](conn, "SELECT count(*) FROM t")).To(BeZero())
		batch := &pgx.Batch{}
		batch.Queue("INSERT INTO t VALUES ($1)", 1)
		batch.Queue("INSERT INTO t VALUES ($1)", 1)
		Expect(stateOf(conn.SendBatch(context.Background(), batch).Close())).To(Equal("23505"))
		Expect(query[int](conn, "SELECT count(*) FROM t")).To(BeZero())
		results, err := conn.PgConn().Exec(context.Background(), "INSERT INTO t VALUES (1); SELECT id FROM t").ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(results).To(HaveLen(2))
		Expect(results[0].CommandTag.String()).To(Equal("INSERT 0 1"))
		Expect(string(results[1].Rows[0][0])).To(Equal("1"))
	})

	It("hide what is not committed, and name errors", func() {
		g := start(three())
		one, two := dial(g, "a", work), dial(g, "a", work)
		exec(one, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
		exec(one, "BEGIN")
		exec(one, "INSERT INTO t VALUES (1)")
		Expect(query[int](two, "SELECT count(*) FROM t")).To(BeZero())
		exec(one, "COMMIT")
		Expect(query[int](two, "SELECT count(*) FROM t")).To(Equal(1))
		Expect(state(two, "SELECT * FROM missing")).To(Equal("42P01"))
		Expect(state(two, "SELEKT 1")).To(Equal("42601"))
		Expect(state(two, "COPY t FROM STDIN")).To(Equal("0A000"))
		Expect(state(dial(g, "b", work), "CREATE TABLE u (id INTEGER)")).To(Equal("25006"))
	})
})

var _ = Describe("limits", func() {
	It("hold the connection budget over all members", func() {
		options := three()
		options.MaxConnections = 3
		g := start(options)
		first := dial(g, "a", work)
		dial(g, "b", work)
		dial(g, "c", controlling)
		_, err := open(g, "b", work)
		Expect(stateOf(err)).To(Equal("53300"))
		Expect(first.Close(context.Background())).To(Succeed())
		Eventually(func() int { n, _, _ := g.Connections(); return n }).Should(Equal(2))
		dial(g, "b", work)
		_, highest, refused := g.Connections()
		Expect([]int{highest, refused}).To(Equal([]int{3, 1}))
		_, err = open(g, "a", "psql:x")
		Expect(stateOf(err)).To(Equal("53300"))
	})

	It("queue statements for slots, from which a cancel frees them", func() {
		options := three()
		options.Slots, options.ServiceTime = 1, time.Hour
		g := start(options)
		for range 2 {
			conn := dial(g, "a", work)
			done := make(chan string, 1)
			go func() { done <- state(conn, "SELECT 1", pgx.QueryExecModeSimpleProtocol) }()
			Eventually(func() string {
				Expect(conn.PgConn().CancelRequest(context.Background())).To(Succeed())
				select {
				case s := <-done:
					return s
				default:
					return ""
				}
			}).Should(Equal("57014"))
		}
	})

	It("answer the cheapest statements without the engine", func() {
		options := three()
		options.Cheap = true
		conn := dial(start(options), "c", work)
		Expect(query[int](conn, "SELECT 1")).To(Equal(1))
		Expect(query[string](conn, "SELECT $1", "x")).To(Equal("x"))
	})

	It("speak protocol 3.0 to a client that asks for more", func() {
		g := start(three())
		conn, err := pgx.Connect(context.Background(), "postgres://"+replaceAddr("kita:cycle@%/parkdb", g.Member("a"))+"?sslmode=disable&max_protocol_version=3.2")
		Expect(err).NotTo(HaveOccurred())
		Expect(query[int](conn, "SELECT 1 AS one")).To(Equal(1))
		Expect(conn.Close(context.Background())).To(Succeed())
	})

	It("refuse a wrong password, user or database", func() {
		g := start(three())
		for url, want := range map[string]string{"kita:wrong@%/parkdb": "28P01", "x:cycle@%/parkdb": "28P01", "kita:cycle@%/other": "3D000"} {
			_, err := pgx.Connect(context.Background(), "postgres://"+replaceAddr(url, g.Member("a"))+"?sslmode=disable")
			Expect(stateOf(err)).To(Equal(want))
		}
	})
})

var _ = Describe("terms", func() {
	It("refuse what is not above the own, and tell the state", func() {
		conn := dial(start(three()), "a", controlling)
		Expect(state(conn, "SELECT * FROM limpetspan_fence(2)")).To(Equal("55000"))
		Expect(state(conn, "SELECT * FROM limpetspan_promote(1)")).To(Equal("55000"))
		var term, lsn, logTerm int64
		var role, history string
		var connections int
		var leaving bool
		row := conn.QueryRow(context.Background(), "SELECT * FROM limpetspan_promote(4)", pgx.QueryExecModeSimpleProtocol)
		Expect(row.Scan(&term, &role, &lsn, &logTerm, &history, &connections, &leaving)).To(Succeed())
		Expect([]any{term, role, lsn, logTerm, history, connections, leaving}).
			To(Equal([]any{int64(4), "primary", int64(0), int64(0), "2:0,4:0", 0, false}))
	})

	// A client reads a table whose name begins like a state function's, or
	// calls one with the wrong arguments. Taken for a call, the statement would
	// get the member's status or a refused term for its answer.
	It("take only the four calls for state functions", func() {
		conn := dial(start(three()), "a", controlling)
		exec(conn, "CREATE TABLE limpetspan_once (tag TEXT)")
		exec(conn, "INSERT INTO limpetspan_once VALUES ('INSERT 0 1')")
		for _, from := range []string{"limpetspan_once", "limpetspan_once WHERE tag > ''", "(SELECT tag FROM limpetspan_once) AS t"} {
			Expect(query[string](conn, "SELECT tag FROM "+from)).To(Equal("INSERT 0 1"))
		}
		exec(conn, "CREATE TABLE limpetspan_status_log (tag TEXT)")
		exec(conn, "SELECT * FROM limpetspan_status_log")
		exec(conn, "SELECT * FROM limpetspan_status() ;")
		for _, call := range []string{"limpetspan_other()", "limpetspan_fence()", "limpetspan_status(7)", "limpetspan_promote('7')"} {
			Expect(state(conn, "SELECT * FROM "+call)).To(HavePrefix("42"))
		}
	})

	It("end work connections and open writes at a fence", func() {
		g := start(three())
		ctl, writer := dial(g, "a", controlling), dial(g, "a", work)
		exec(ctl, "CREATE TABLE t (id INTEGER)")
		exec(ctl, "CREATE TABLE limpetspan_once (tag TEXT)")
		exec(ctl, "SELECT tag FROM limpetspan_once WHERE tag = $1", "x")
		exec(writer, "BEGIN")
		exec(writer, "INSERT INTO t VALUES (1)")
		exec(ctl, "SELECT * FROM limpetspan_fence(3)")
		Expect(state(writer, "COMMIT")).To(Equal("57P01"))
		Expect(state(ctl, "INSERT INTO t VALUES (2)")).To(Equal("25006"))
		Expect(g.Member("a").Status().Role).To(Equal(core.RoleFenced))
		exec(ctl, "SELECT * FROM limpetspan_promote(4)")
		exec(ctl, "INSERT INTO t VALUES (3)")
		Expect(query[int](ctl, "SELECT sum(id) FROM t")).To(Equal(3))
		Expect(g.Journal().Match(func(s target.Statement) bool { return s.SQL == "INSERT INTO t VALUES (1)" })).To(BeEmpty())
	})

	It("abort a transaction that began in an earlier leadership", func() {
		// A settlement is written while the member is fenced and promoted again
		// for a new term. Its transaction began before, on what the fence had
		// ended, so its COMMIT must not be acknowledged in the new term.
		g := start(three())
		ctl, writer := dial(g, "a", controlling), dial(g, "a", controlling)
		exec(ctl, "CREATE TABLE t (id INTEGER)")
		exec(writer, "BEGIN")
		exec(writer, "INSERT INTO t VALUES (1)")
		exec(ctl, "SELECT * FROM limpetspan_fence(3)")
		exec(ctl, "SELECT * FROM limpetspan_promote(4)")
		Expect(state(writer, "COMMIT")).To(Equal("57P01"))
		exec(ctl, "INSERT INTO t VALUES (2)")
		Expect(query[int](ctl, "SELECT sum(id) FROM t")).To(Equal(2))
		Expect(g.Journal().Records()).To(HaveLen(2))
	})
})
