package target_test

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/standin/target"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	SetDefaultEventuallyPollingInterval(2 * time.Millisecond)
	RunSpecs(t, "target")
}

const (
	work        = "limpetspan-work"
	controlling = "limpetspan-control"
)

func three() target.Options {
	return target.Options{
		Members: []target.MemberOptions{{ID: "a", Zone: "asahikawa"}, {ID: "b", Zone: "hakodate"}, {ID: "c", Zone: "kushiro"}},
		User:    "kita", Password: "cycle", Database: "parkdb",
	}
}

func start(options target.Options) *target.Group {
	GinkgoHelper()
	g, err := target.NewGroup(options)
	Expect(err).NotTo(HaveOccurred())
	Expect(g.Start(context.Background())).To(Succeed())
	DeferCleanup(g.Close)
	return g
}

func open(g *target.Group, id core.MemberID, application string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return pgx.Connect(ctx, fmt.Sprintf("postgres://kita:cycle@%s/parkdb?sslmode=prefer&application_name=%s",
		g.Member(id).Addr(), url.QueryEscape(application)))
}

func dial(g *target.Group, id core.MemberID, application string) *pgx.Conn {
	GinkgoHelper()
	conn, err := open(g, id, application)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(conn *pgx.Conn, sql string, args ...any) string {
	GinkgoHelper()
	tag, err := conn.Exec(context.Background(), sql, args...)
	Expect(err).NotTo(HaveOccurred())
	return tag.String()
}

func query[T any](conn *pgx.Conn, sql string, args ...any) T {
	GinkgoHelper()
	var v T
	Expect(conn.QueryRow(context.Background(), sql, args...).Scan(&v)).To(Succeed())
	return v
}

// state returns the SQLSTATE of the error of a statement.
func state(conn *pgx.Conn, sql string, args ...any) string {
	_, err := conn.Exec(context.Background(), sql, args...)
	return stateOf(err)
}

func stateOf(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return fmt.Sprint(err)
}

// replaceAddr puts the member's address in place of the percent sign.
func replaceAddr(url string, m *target.Member) string {
	return strings.Replace(url, "%", m.Addr(), 1)
}
