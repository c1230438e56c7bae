package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/daemon"
	"limpetspan/pkg/settings"
)

// certificate writes a self-signed certificate, which is its own authority.
func certificate() (cert, key string) {
	GinkgoHelper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	Expect(err).NotTo(HaveOccurred())
	cert, key = filepath.Join(GinkgoT().TempDir(), "cert.pem"), filepath.Join(GinkgoT().TempDir(), "key.pem")
	Expect(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600)).To(Succeed())
	return cert, key
}

var _ = Describe("a fleet with TLS", func() {
	It("encrypts towards callers and between daemons", func(ctx SpecContext) {
		cert, key := certificate()
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
