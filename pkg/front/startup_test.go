package front

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// makeCertificate writes a self-signed certificate for 127.0.0.1.
func makeCertificate(dir string, serial int64, fail func(...any)) (certFile, keyFile string, logger hclog.Logger) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		fail(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "limpetspan"},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		fail(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		fail(err)
	}
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	write := func(name, kind string, bytes []byte) {
		if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: bytes}), 0o600); err != nil {
			fail(err)
		}
	}
	write(certFile, "CERTIFICATE", certificate)
	write(keyFile, "PRIVATE KEY", der)
	return certFile, keyFile, nil
}

var _ = Describe("TLS", func() {
	It("serves, requires and reloads", func() {
		dir := GinkgoT().TempDir()
		fail := func(e ...any) { Fail(fmt.Sprint(e...)) }
		certFile, keyFile, _ := makeCertificate(dir, 1, fail)
		certificate, err := LoadCertificate(certFile, keyFile, nil)
		Expect(err).NotTo(HaveOccurred())
		r := startRig(func(o *Options) { o.Certificate, o.RequireTLS = certificate, true })
		serial := int64(0)
		secure := func(c *pgx.ConnConfig) {
			c.TLSConfig = &tls.Config{InsecureSkipVerify: true, VerifyConnection: func(s tls.ConnectionState) error {
				serial = s.PeerCertificates[0].SerialNumber.Int64()
				return nil
			}}
		}
		first := r.connect(secure)
		Expect(query(first, "SELECT 1")).To(Equal("SELECT 1"))
		Expect(serial).To(Equal(int64(1)))

		makeCertificate(dir, 2, fail)
		Expect(r.server.ReloadCertificate()).To(Succeed())
		r.connect(secure)
		Expect(serial).To(Equal(int64(2)))
		Expect(os.WriteFile(certFile, []byte("half"), 0o600)).To(Succeed())
		Expect(r.server.ReloadCertificate()).NotTo(Succeed())
		r.connect(secure)
		Expect(serial).To(Equal(int64(2)))
		Expect(query(first, "SELECT 2")).To(Equal("SELECT 2"))

		plain := r.dialRaw()
		plain.write(started())
		Expect(plain.fatal()).To(Equal("28000"))

		text := "SELECT '" + strings.Repeat("z", 100_000) + "'"
		Expect(query(first, text)).To(Equal(text))
		stopped := make(chan error, 1)
		go func() { stopped <- r.server.Shutdown(context.Background()) }()
		Expect(first.WaitForNotification(context.Background())).Error().To(haveState("57P01"))
		Eventually(stopped, waitLimit).Should(Receive(BeNil()))
	})
})

var _ = Describe("The startup", func() {
	It("refuses GSS and TLS without ending, and negotiates the protocol down", func() {
		r := startRig(trust)
		c := r.dialRaw()
		answer := make([]byte, 1)
		for _, code := range []byte{48, 47} {
			c.write([]byte{0, 0, 0, 8, 4, 210, 22, code})
			Expect(c.conn.Read(answer)).Error().NotTo(HaveOccurred())
			Expect(answer).To(BeEquivalentTo("N"))
		}
		message := startup(map[string]string{"user": "app", "_pq_.x": "1"})
		message[7] = 2
		c.write(message)
		negotiated, err := c.frontend.Receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(negotiated).To(Equal(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 3 << 16, UnrecognizedOptions: []string{"_pq_.x"}}))
		Expect(c.untilReady().Status).To(Equal(byte('I')))
	})
})

var _ = Describe("Users", func() {
	// What PostgreSQL stores for the password "pencil" with this salt.
	const verifier = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="

	It("are read from lines with verifiers or passwords", func() {
		users, err := ReadUsers(strings.NewReader("# users\n\napp:" + verifier + "\nother:" + testPassword + "\n"))
		Expect(err).NotTo(HaveOccurred())
		r := startRig(func(o *Options) { o.Users = users })
		r.connect(func(c *pgx.ConnConfig) { c.Password = "pencil" })
		r.connect(func(c *pgx.ConnConfig) { c.User = "other" })
		Expect(users.lookup("nobody")).To(Equal(users.lookup("nobody")))
	})

	DescribeTable("are refused without a word of the secret", func(text string) {
		_, err := ReadUsers(bytes.NewBufferString(text))
		Expect(err).To(MatchError(And(ContainSubstring("line 1"), Not(ContainSubstring("hush")))))
	},
		Entry("no colon", "hush"),
		Entry("no name", ":hush"),
		Entry("a malformed verifier", "app:SCRAM-SHA-256$1:hush"),
		Entry("a short key", "app:SCRAM-SHA-256$4096:aHVzaA==$aHVzaA==:aHVzaA=="),
	)
})
