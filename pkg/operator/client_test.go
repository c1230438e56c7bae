package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// fakeDaemon answers with fixed values.
type fakeDaemon struct{ drained bool }

func (*fakeDaemon) Status(fleet bool) *operator.Status {
	s := &operator.Status{ID: "d", ConfigRevision: 7}
	if fleet {
		s.Fleet = []operator.Peer{{ID: "e"}}
	}
	return s
}

func (*fakeDaemon) Ready() error { return nil }

func (*fakeDaemon) AwaitRevision(context.Context, uint64) (uint64, error) { return 7, nil }

func (d *fakeDaemon) Drain() { d.drained = true }

func (*fakeDaemon) Verify(_ context.Context, kind string) (*operator.Verification, error) {
	if kind != "listing" {
		return nil, errors.New("no take-over of " + kind)
	}
	return &operator.Verification{Kind: kind, Buckets: 4, Equal: 3, Different: []int{2}}, nil
}

var _ = Describe("Client and handler", func() {
	It("understand each other", func(ctx SpecContext) {
		daemon := &fakeDaemon{}
		server := httptest.NewServer(operator.NewServer(daemon, hclog.NewNullLogger()).Handler())
		DeferCleanup(server.Close)
		addr := strings.TrimPrefix(server.URL, "http://")
		client := &operator.Client{HTTP: http.DefaultClient}

		status, err := client.Status(ctx, addr, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(daemon.Status(false)))
		Expect(client.Status(ctx, addr, true)).To(HaveField("Fleet", HaveLen(1)))
		Expect(client.Drain(ctx, addr)).To(Succeed())
		Expect(daemon.drained).To(BeTrue())
		Expect(client.Verify(ctx, addr, "listing")).To(HaveField("Different", Equal([]int{2})))
		_, err = client.Verify(ctx, addr, "a b&c")
		Expect(err).To(MatchError(And(ContainSubstring(addr), ContainSubstring("409"), HaveSuffix(": no take-over of a b&c"))))
		_, err = client.Verify(ctx, addr, "")
		Expect(err).To(MatchError(ContainSubstring("query kind: missing")))
	})
})
