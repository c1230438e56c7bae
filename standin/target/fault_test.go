package target_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/standin/control"
	"limpetspan/standin/target"
)

// begin runs a statement in the background and returns where its SQLSTATE
// arrives, "<nil>" for success.
func begin(conn *pgx.Conn, sql string) <-chan string {
	done := make(chan string, 1)
	go func() { done <- state(conn, sql, pgx.QueryExecModeSimpleProtocol) }()
	return done
}

const succeeded = "<nil>"

var _ = Describe("faults", func() {
	ctx := context.Background()

	It("crash loses what is not committed and keeps the log", func() {
		g := start(three())
		conn := dial(g, "a", work)
		exec(conn, "CREATE TABLE t (id INTEGER)")
		exec(conn, "BEGIN")
		exec(conn, "INSERT INTO t VALUES (1)")
		Expect(g.Faults().Crash("a")).To(Succeed())
		Expect(conn.Exec(ctx, "COMMIT")).Error().To(HaveOccurred())
		_, err := open(g, "a", work)
		Expect(err).To(MatchError(ContainSubstring("refused")))
		Expect(g.Faults().Restart("a")).To(Succeed())
		Expect(query[int](dial(g, "a", work), "SELECT count(*) FROM t")).To(BeZero())
		Expect(role(g, "a")().String()).To(Equal("primary"))
	})

	It("pause stops a statement that goes on after it", func() {
		g := start(three())
		conn := dial(g, "a", work)
		exec(conn, "CREATE TABLE t (id INTEGER)")
		before := lsn(g, "a")()
		Expect(g.Faults().Pause("a")).To(Succeed())
		done := begin(conn, "INSERT INTO t VALUES (1)")
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := pgx.Connect(short, "postgres://kita:cycle@"+g.Member("a").Addr()+"/parkdb?sslmode=disable")
		Expect(err).To(HaveOccurred())
		Expect(done).NotTo(Receive())
		Expect(lsn(g, "a")()).To(Equal(before))
		Expect(g.Faults().Resume("a")).To(Succeed())
		Eventually(done).Should(Receive(Equal(succeeded)))
	})

	It("a partition cuts off the clients of one tag until it heals", func() {
		g := start(three())
		near, far := dial(g, "a", work+":kushiro"), dial(g, "a", work+":hakodate")
		Expect(g.Faults().Partition("a", target.Partition{ClientTags: []string{"kushiro"}})).To(Succeed())
		done := begin(near, "CREATE TABLE t (id INTEGER)")
		exec(far, "CREATE TABLE u (id INTEGER)")
		Expect(done).NotTo(Receive())
		Expect(g.Faults().Heal("a")).To(Succeed())
		Eventually(done).Should(Receive(Equal(succeeded)))
	})

	It("silent connections stay silent, new ones work, and the member forgets them", func() {
		options := three()
		options.Keepalive = 20 * time.Millisecond
		g := start(options)
		silent := dial(g, "a", work)
		Expect(g.Faults().Silence("a")).To(Succeed())
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := silent.Exec(short, "CREATE TABLE t (id INTEGER)", pgx.QueryExecModeSimpleProtocol)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		exec(dial(g, "a", work), "CREATE TABLE u (id INTEGER)")
		Eventually(func() int { n, _, _ := g.Connections(); return n }).Should(Equal(1))
		Expect(g.Journal().Records()).To(HaveLen(1))
	})

	It("late answers come late, as often as asked", func() {
		g := start(three())
		conn := dial(g, "a", work)
		late := 30 * time.Millisecond
		Expect(g.Faults().Delay("a", target.Delay{For: late, Count: 1})).To(Succeed())
		begun := time.Now()
		exec(conn, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
		Expect(time.Since(begun)).To(BeNumerically(">=", late))
		Expect(g.Faults().Delay("a", target.Delay{For: time.Hour, Count: 1})).To(Succeed())
		Expect(g.Faults().Delay("a", target.Delay{})).To(Succeed())
		exec(conn, "SELECT 1")
	})

	It("a leaving member ends transactions and refuses new work", func() {
		g := start(three())
		busy, idle := dial(g, "a", work), dial(g, "a", work)
		exec(busy, "BEGIN")
		Expect(g.Faults().SetLeaving("a", true)).To(Succeed())
		exec(busy, "CREATE TABLE t (id INTEGER)")
		exec(busy, "COMMIT")
		Expect(state(idle, "SELECT 1", pgx.QueryExecModeSimpleProtocol)).To(Equal("57P03"))
		_, err := open(g, "a", work)
		Expect(stateOf(err)).To(Equal("57P03"))
		exec(dial(g, "a", controlling), "SELECT * FROM limpetspan_status()")
	})

	It("can be set over HTTP", func() {
		g, mux := start(three()), control.New()
		g.Faults().Register(mux, "/target/parkdb")
		post := func(path, body string) int {
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/target/parkdb"+path, strings.NewReader(body)))
			return w.Code
		}
		Expect(post("/leaving", `{"member":"b","on":true}`)).To(Equal(http.StatusOK))
		Expect(g.Member("b").Status().Leaving).To(BeTrue())
		Expect(post("/lag", `{"member":"b","fixed_ms":5}`)).To(Equal(http.StatusOK))
		Expect(post("/partition", `{"member":"b","client_tags":["kushiro"]}`)).To(Equal(http.StatusOK))
		Expect(post("/crash", `{"member":"x"}`)).To(Equal(http.StatusBadRequest))
		Expect(post("/crash", `{"name":"a"}`)).To(Equal(http.StatusBadRequest))
		Expect(post("/status", `{}`)).To(Equal(http.StatusOK))
	})
})
