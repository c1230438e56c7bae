package resetconn_test

import (
	"io"
	"net"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/resetconn"
)

var _ = Describe("the unread data of a connection", func() {
	var near, far net.Conn
	var raw syscall.RawConn

	// unread returns what PeekUnread finds.
	unread := func() (string, error) {
		var b [4]byte
		n, err := resetconn.PeekUnread(raw, b[:])
		return string(b[:n]), err
	}

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		near, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = near.Close() })
		far, err = listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = far.Close() })
		raw, err = near.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
	})

	It("is none before any has arrived", func() {
		Expect(unread()).To(BeEmpty())
	})

	// Guards against a look that takes data away, or that waits for more.
	It("stays on the connection", func() {
		_, err := far.Write([]byte("answer"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(unread, waitLimit).Should(Equal("answ"))
		got := make([]byte, 6)
		_, err = io.ReadFull(near, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("answer"))
		Expect(unread()).To(BeEmpty())
	})

	// Guards against a request that is sent on a connection that the peer has closed.
	It("ends with io.EOF when the peer has closed the connection", func() {
		Expect(far.Close()).To(Succeed())
		Eventually(func() error { _, err := unread(); return err }, waitLimit).Should(MatchError(io.EOF))
	})

	It("cannot be looked at once the connection is closed", func() {
		Expect(near.Close()).To(Succeed())
		_, err := unread()
		Expect(err).To(MatchError(net.ErrClosed))
	})
})
