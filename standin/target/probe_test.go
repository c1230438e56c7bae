package target_test

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a client", func() {
	ctx := context.Background()

	// A reader now and then finds NULL where an empty text was written: on
	// connections whose first row it is, as nothing has grown their buffer yet.
	It("tells an empty text from NULL in the first row of a connection", func() {
		g := start(three())
		conn := dial(g, "a", "psql")
		exec(conn, "CREATE TABLE note (id BIGINT PRIMARY KEY, body TEXT)")
		exec(conn, "INSERT INTO note VALUES (1, '')")
		Expect(query[string](dial(g, "a", "psql"), "SELECT body FROM note")).To(BeEmpty())
	})

	It("gets back what it wrote, type by type, in both protocols", func() {
		conn := dial(start(three()), "a", "psql")
		Expect(exec(conn, `CREATE TABLE bay (id BIGINT PRIMARY KEY, n INTEGER, ratio DOUBLE PRECISION,
			free BOOLEAN, name TEXT, code BYTEA, since TIMESTAMPTZ, at TIMESTAMP, on_day DATE)`)).To(Equal("CREATE TABLE"))
		since := time.Date(2026, 12, 2, 7, 30, 1, 250_000_000, time.UTC)
		day := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
		insert := "INSERT INTO bay VALUES ($1, $2, $3, $4, $5, $6, $7, $8, $9)"
		modes := []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol}
		for i, mode := range modes {
			args := []any{mode, int64(i), 7, 0.5, true, "hall", []byte{0, 255}, since, since, day}
			if mode == pgx.QueryExecModeSimpleProtocol {
				args[6] = []byte("x")
			}
			if i < 2 {
				Expect(exec(conn, insert, args...)).To(Equal("INSERT 0 1"))
			}
			var id int64
			var n int32
			var ratio float64
			var free bool
			var name string
			var code []byte
			var s, a, d time.Time
			Expect(conn.QueryRow(ctx, "SELECT * FROM bay WHERE id = $1", mode, int64(i%2)).
				Scan(&id, &n, &ratio, &free, &name, &code, &s, &a, &d)).To(Succeed())
			Expect([]any{id, n, ratio, free, name, code}).To(Equal([]any{int64(i % 2), int32(7), 0.5, true, "hall", []byte{0, 255}}))
			Expect([]bool{s.Equal(since), a.Equal(since), d.Equal(day)}).To(Equal([]bool{true, true, true}))
		}
		Expect(query[int64](conn, "SELECT count(*) FROM bay WHERE name = $1", "hall")).To(BeEquivalentTo(2))
		Expect(query[int64](conn, "SELECT coalesce(sum(n), 0) AS total FROM bay WHERE id > $1", 100_000)).To(BeZero())
		Expect(query[int](conn, "INSERT INTO bay (id, n) VALUES ($1, $2) RETURNING n", 9, 3)).To(Equal(3))
		Expect(exec(conn, "UPDATE bay SET n = n + $1 WHERE id IN ($2, $3)", 1, 0, 1)).To(Equal("UPDATE 2"))
		Expect(query[*string](conn, "SELECT name FROM bay WHERE id = 9")).To(BeNil())
	})
})
