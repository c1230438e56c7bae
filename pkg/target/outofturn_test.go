package target_test

import (
	"bytes"
	"errors"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/target"
)

// serveRepeating is a member that repeats the answer to the n-th last query when it receives "two", and answers
// what follows "two" only with the next query. With apart set, it answers "two" itself as late.
func serveRepeating(c net.Conn, n int, apart bool) {
	b := pgproto3.NewBackend(c, c)
	_, _ = b.ReceiveStartupMessage()
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = b.Flush()
	answer := func(sql string) {
		row := &pgproto3.DataRow{Values: [][]byte{[]byte(sql)}}
		if strings.Contains(sql, "limpetspan_position") {
			row.Values = [][]byte{[]byte("2"), []byte("100")}
		}
		b.Send(row)
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	var queries []string
	for message, err := b.Receive(); err == nil; message, err = b.Receive() {
		query, ok := message.(*pgproto3.Query)
		if !ok {
			return
		}
		if query.String == "two" {
			answer(queries[len(queries)-n])
			if apart {
				_ = b.Flush()
			}
		}
		answer(query.String)
		isLate := apart && query.String == "two" || len(queries) > 0 && queries[len(queries)-1] == "two"
		if !isLate {
			_ = b.Flush()
		}
		queries = append(queries, query.String)
	}
}

// runsAt returns a function that runs a query on a connection to a member that repeats the n-th last answer.
func runsAt(ctx SpecContext, n int, wantPosition bool) func(sql string) ([]byte, error) {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go serveRepeating(c, n, !wantPosition)
		}
	}()
	dialer := &target.Dialer{User: "u", Database: "d"}
	conn, err := dialer.Dial(ctx, ln.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return func(sql string) ([]byte, error) {
		r, out := target.NewRunner(), &bytes.Buffer{}
		defer r.Free()
		messages := encode(&pgproto3.Query{String: sql})
		Expect(r.Plan.Parse(messages)).To(Succeed())
		_, err := r.Run(conn, &target.Batch{Messages: messages, Out: out, WantPosition: wantPosition})
		return append(out.Bytes(), r.Tail...), err
	}
}

var _ = Describe("an answer of a member that comes twice", func() {
	// Guards against the answer to another exchange, and against a position that is taken from another answer.
	DescribeTable("is not that to the next exchange if its position is asked for", func(ctx SpecContext, n int) {
		run := runsAt(ctx, n, true)
		answer, err := run("one")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(ContainSubstring("one"))
		_, err = run("two")
		var broken *target.Broken
		Expect(errors.As(err, &broken)).To(BeTrue())
		Expect(broken.Sent).To(BeTrue())
	},
		Entry("that to the position query", 1),
		Entry("that to the exchange before", 2),
	)

	// Guards against the answer to another exchange where nothing behind it shows that one came in between.
	It("is not that to the next exchange if its position is not asked for", func(ctx SpecContext) {
		run := runsAt(ctx, 1, false)
		_, err := run("one")
		Expect(err).NotTo(HaveOccurred())
		if answer, err := run("two"); err == nil {
			Expect(answer).To(ContainSubstring("two"))
		}
	})
})
