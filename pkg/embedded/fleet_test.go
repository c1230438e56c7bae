package embedded_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/embedded"
)

func TestEmbedded(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "embedded")
}

// bound is how long a test waits for what must come.
const bound = 30 * time.Second

var _ = Describe("a fleet before a group of three members", func() {
	It("answers a session through another daemon with what it wrote", func() {
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		fleet, err := embedded.Start(ctx, embedded.Kitacycle(0))
		Expect(err).NotTo(HaveOccurred())
		defer fleet.Close()

		writer := connect(ctx, fleet, 0)
		_, err = writer.Exec(ctx, "CREATE TABLE racks (id int PRIMARY KEY, bay text)")
		Expect(err).NotTo(HaveOccurred())
		for i := range 20 {
			_, err = writer.Exec(ctx, "INSERT INTO racks VALUES ($1, $2)", i, "free")
			Expect(err).NotTo(HaveOccurred())
			var n int
			row := connect(ctx, fleet, 1+i%2).QueryRow(ctx, "/*read='true'*/ SELECT count(*) FROM racks")
			Expect(row.Scan(&n)).To(Succeed())
			Expect(n).To(Equal(i + 1))
		}
	})
})

var _ = Describe("a started fleet", func() {
	// A bench bounds the start by a context of its own and ends that context
	// once the fleet serves; the members must not go with it.
	It("outlives the context of its start", func() {
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		starting, started := context.WithCancel(ctx)
		fleet, err := embedded.Start(starting, embedded.Kitacycle(0))
		Expect(err).NotTo(HaveOccurred())
		defer fleet.Close()
		started()
		for _, m := range fleet.Group("parkdb-1").Members() {
			Consistently(func() error {
				conn, err := net.Dial("tcp", m.Addr())
				if err == nil {
					err = conn.Close()
				}
				return err
			}, 200*time.Millisecond).Should(Succeed())
		}
	})
})

var _ = Describe("a daemon that is killed", func() {
	// A rider's app writes through the daemon that is home of its group when
	// that daemon's process ends without a word. Another candidate has to
	// notice, claim the group and answer.
	It("is replaced as home", func() {
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		fleet, err := embedded.Start(ctx, embedded.Kitacycle(0))
		Expect(err).NotTo(HaveOccurred())
		defer fleet.Close()
		home := homeOf(fleet)
		Expect(home).NotTo(BeNil())
		Expect(fleet.Kill(home)).To(Succeed())
		Expect(fleet.Daemons()).To(HaveLen(2))
		Expect(fleet.WaitReady(ctx)).To(Succeed())
		Expect(homeOf(fleet)).NotTo(Or(BeNil(), BeIdenticalTo(home)))
	})
})

func homeOf(fleet *embedded.Fleet) *embedded.Daemon {
	for _, d := range fleet.Daemons() {
		if len(d.Status(false).Homes) > 0 {
			return d
		}
	}
	return nil
}

// connect opens a caller's connection of one roaming session.
func connect(ctx context.Context, fleet *embedded.Fleet, daemon int) *pgx.Conn {
	GinkgoHelper()
	conn, err := pgx.Connect(ctx, fleet.URL(fleet.Daemons()[daemon]))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	_, err = conn.Exec(ctx, "SET limpetspan.session = 'gate-7'")
	Expect(err).NotTo(HaveOccurred())
	return conn
}
