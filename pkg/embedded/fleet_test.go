package embedded_test

import (
	"context"
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
