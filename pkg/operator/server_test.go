package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/operator"
)

// stoppingDaemon is not ready, and never gets beyond its revision.
type stoppingDaemon struct{ fakeDaemon }

func (*stoppingDaemon) Ready() error { return errors.New("the daemon is stopping") }

func (*stoppingDaemon) AwaitRevision(context.Context, uint64) (uint64, error) {
	return 7, context.DeadlineExceeded
}

var _ = Describe("Server", func() {
	It("answers in JSON, also when it refuses", func(ctx SpecContext) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serving, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			done <- operator.NewServer(&stoppingDaemon{}, hclog.NewNullLogger()).Serve(serving, ln)
		}()
		get := func(path string) (int, map[string]any) {
			resp, err := http.Get("http://" + ln.Addr().String() + path)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			var body map[string]any
			Expect(json.NewDecoder(resp.Body).Decode(&body)).To(Succeed())
			return resp.StatusCode, body
		}
		for _, c := range []struct {
			path  string
			code  int
			error any
		}{
			{operator.PathHealth, http.StatusOK, nil},
			{operator.PathVars, http.StatusOK, nil},
			{operator.PathReady, http.StatusServiceUnavailable, "the daemon is stopping"},
			{operator.PathConfigWait + "?revision=x", http.StatusBadRequest, "query revision: not a number"},
			{operator.PathConfigWait + "?revision=9", http.StatusGatewayTimeout, "revision 7 is in force"},
			{operator.PathDrain, http.StatusNotFound, "no such path or method: GET /drain"},
		} {
			code, body := get(c.path)
			Expect(code).To(Equal(c.code), c.path)
			if c.error != nil {
				Expect(body).To(HaveKeyWithValue("error", c.error))
			}
		}
		cancel()
		Eventually(done).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
})
