package resetconn_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/resetconn"
)

func TestResetconn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resetconn")
}

// waitLimit is a generous bound of each spec.
const waitLimit = 20 * time.Second

// addrVariable makes the test program send a request to this address and wait for ever.
const addrVariable = "LIMPETSPAN_TEST_RESETCONN_ADDR"

const request = "order\r\n"

func TestMain(m *testing.M) {
	if addr := os.Getenv(addrVariable); addr != "" {
		if c, err := resetconn.Dial(context.Background(), addr, resetconn.Options{}); err == nil {
			_, _ = c.Write([]byte(request))
		}
		select {}
	}
	os.Exit(m.Run())
}

var _ = Describe("a connection", func() {
	var listener net.Listener

	BeforeEach(func() {
		var err error
		listener, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
	})

	// acceptRequest returns the peer's end of the connection once the request has arrived there.
	acceptRequest := func() net.Conn {
		GinkgoHelper()
		c, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		got := make([]byte, len(request))
		_, err = io.ReadFull(c, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(request))
		return c
	}

	expectReset := func(c net.Conn) {
		GinkgoHelper()
		Expect(c.SetReadDeadline(time.Now().Add(waitLimit))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	}

	// Guards against data that a partition delivers after its sender has given it up.
	It("is reset when it is closed", func(ctx SpecContext) {
		c, err := resetconn.Dial(ctx, listener.Addr().String(), resetconn.Options{Timeout: waitLimit, UnackedTimeout: time.Second})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Write([]byte(request))
		Expect(err).NotTo(HaveOccurred())
		peer := acceptRequest()
		Expect(c.Close()).To(Succeed())
		expectReset(peer)
	}, SpecTimeout(waitLimit))

	// Guards against the same if the kernel closes the connection.
	It("is reset when its process is killed", func(ctx SpecContext) {
		sender := exec.CommandContext(ctx, os.Args[0])
		sender.Env = append(os.Environ(), addrVariable+"="+listener.Addr().String())
		Expect(sender.Start()).To(Succeed())
		peer := acceptRequest()
		Expect(sender.Process.Kill()).To(Succeed())
		Expect(sender.Wait()).NotTo(Succeed())
		expectReset(peer)
	}, SpecTimeout(waitLimit))

	// Guards against data that is delivered while its sender is stopped and cannot give it up: the
	// peer's receive buffer is full, so it acknowledges nothing more.
	It("is reset when sent data stays unacknowledged", func(ctx SpecContext) {
		c, err := resetconn.Dial(ctx, listener.Addr().String(), resetconn.Options{UnackedTimeout: 100 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		_, err = listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetWriteDeadline(time.Now().Add(waitLimit))).To(Succeed())
		for chunk := bytes.Repeat([]byte(request), 10_000); err == nil; {
			_, err = c.Write(chunk)
		}
		Expect(err).To(MatchError(syscall.ETIMEDOUT))
	}, SpecTimeout(waitLimit))
})
