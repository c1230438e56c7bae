package daemon_test

import (
	"context"
	"encoding/binary"
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a cancel request", func() {
	// The fines desk gives up on a slow report. The balancer sends its cancel
	// request to another daemon than the one that holds its connection, and the
	// statement runs at a third place, the home. It must end all the same.
	It("reaches a statement at its home through any daemon", func(ctx SpecContext) {
		w := newWorld(context.Background())
		daemons := []*running{w.start("a", "z1"), w.start("b", "z2"), w.start("c", "z3")}
		for _, d := range daemons {
			Eventually(d.Ready).WithTimeout(bound).Should(Succeed())
			Eventually(func() int { return len(d.Status(true).Fleet) }).WithTimeout(bound).Should(Equal(3))
		}
		var others []*running
		Eventually(func() []*running {
			others = nil
			for _, d := range daemons {
				if len(d.Status(false).Homes) == 0 {
					others = append(others, d)
				}
			}
			return others
		}).WithTimeout(bound).Should(HaveLen(2))
		conn := others[0].connect(ctx, "s")
		_, err := conn.Exec(ctx, "CREATE TABLE fines (id INTEGER PRIMARY KEY)")
		Expect(err).NotTo(HaveOccurred())

		// An open transaction holds the lock that the statement waits for.
		blocker, err := others[1].connect(ctx, "t").Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = blocker.Exec(ctx, "INSERT INTO fines VALUES (1)")
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(ctx, "INSERT INTO fines VALUES (2)")
			done <- err
		}()
		Eventually(others[0].Status).WithArguments(false).WithTimeout(bound).Should(HaveField("InFlight", 1))
		key := conn.PgConn().SecretKey()
		message, err := (&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: key}).Encode(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(binary.BigEndian.Uint32(message)).To(Equal(uint32(len(message))))
		socket, err := net.Dial("tcp", others[1].Addrs().Callers)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(socket.Close)
		_, err = socket.Write(message)
		Expect(err).NotTo(HaveOccurred())
		Eventually(done).WithTimeout(bound).Should(Receive(&err))
		pg, ok := errors.AsType[*pgconn.PgError](err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(pg.Code).To(Equal("57014"))
		Expect(blocker.Commit(ctx)).To(Succeed())
		var n int
		Expect(conn.QueryRow(ctx, "SELECT count(*) FROM fines").Scan(&n)).To(Succeed())
		Expect(n).To(Equal(1))
	})
})
