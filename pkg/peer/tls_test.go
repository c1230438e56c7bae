package peer_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer"
)

// newTLS makes an authority with one certificate.
func newTLS() *peer.TLS {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	cert, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	Expect(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	Expect(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600)).To(Succeed())
	t, err := peer.LoadTLS(cert, keyFile, cert)
	Expect(err).NotTo(HaveOccurred())
	return t
}

var _ = Describe("mutual TLS between daemons", func() {
	It("serves daemons of its authority and refuses all others as not run", func(ctx SpecContext) {
		handler := newFakeHandler()
		handler.do = func(context.Context, *exchange.Request, exchange.Writer) (exchange.Result, error) {
			return exchange.Result{TxStatus: 'I'}, nil
		}
		ours := newTLS()
		addr, _ := serve(handler, ours)
		_, err := newClient(peer.ClientOptions{TLS: ours.Client()}).Exchange(ctx, addr, request(1, "q"), &bytes.Buffer{})
		Expect(err).NotTo(HaveOccurred())

		stranger := newTLS()
		_, err = newClient(peer.ClientOptions{TLS: stranger.Client()}).Exchange(ctx, addr, request(1, "q"), &bytes.Buffer{})
		Expect(errs.As(err).Outcome).To(Equal(core.OutcomeNotRun))
		_, err = newClient(peer.ClientOptions{}).Exchange(ctx, addr, request(1, "q"), &bytes.Buffer{})
		Expect(err).To(HaveOccurred())
		Expect(handler.runs.Load()).To(Equal(int64(1)))
	})
})
