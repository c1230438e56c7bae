package peer_test

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/peer/peertest"
)

// newTLS makes an authority with one certificate.
func newTLS() *peer.TLS {
	GinkgoHelper()
	certificate, key, err := peertest.WriteCertificate(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	t, err := peer.LoadTLS(certificate, key, certificate)
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
