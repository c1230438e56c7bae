package daemon_test

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/daemon"
	"limpetspan/pkg/peer/peertest"
	"limpetspan/pkg/settings"
)

var _ = Describe("a fleet with TLS", func() {
	It("encrypts towards callers and between daemons", func(ctx SpecContext) {
		cert, key, err := peertest.WriteCertificate(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		secure := func(s *settings.Settings, _ *daemon.Options) {
			s.Callers.TLSCertificate, s.Callers.TLSKey, s.Callers.TLS = cert, key, settings.TLSRequire
			s.Peers.TLSCertificate, s.Peers.TLSKey, s.Peers.TLSCA = cert, key, cert
		}
		w := newWorld(context.Background())
		for i, d := range []*running{w.start("a", "z1", secure), w.start("b", "z2", secure)} {
			Eventually(d.Ready).WithTimeout(bound).Should(Succeed())
			dsn := fmt.Sprintf("postgres://rider:secret@%s/parkdb?sslmode=", d.Addrs().Callers)
			conn, err := pgx.Connect(ctx, dsn+"require")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = conn.Close(context.Background()) })
			// One of the two is not the home: its statement goes between daemons.
			_, err = conn.Exec(ctx, fmt.Sprintf("CREATE TABLE t%d (id INTEGER)", i))
			Expect(err).NotTo(HaveOccurred())
			_, err = pgx.Connect(ctx, dsn+"disable")
			Expect(err).To(HaveOccurred())
		}
	})
})
