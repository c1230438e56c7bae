package daemon

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/peer/peerpb"
)

// callRecorder notes the calls it gets.
type callRecorder struct{ calls chan *peerpb.Call }

func (r callRecorder) Call(_ context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	r.calls <- call
	return &peerpb.Reply{}, nil
}

var _ = Describe("messages to other daemons", func() {
	It("carry a handover with its session positions", func() {
		origin := time.Now()
		now := func() core.Time { return core.Time(time.Since(origin)) }
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		recorder := callRecorder{make(chan *peerpb.Call, 1)}
		go peer.NewServer(peer.ServerOptions{Calls: recorder, Now: now}).Serve(ctx, ln)
		client := peer.NewClient(peer.ClientOptions{Now: now})
		DeferCleanup(client.Close)
		p := &peers{client: client, self: "a", daemon: func(id core.DaemonID) (fleet.Daemon, bool) {
			return fleet.Daemon{ID: id, PeerAddr: ln.Addr().String()}, true
		}}
		sessions := []group.SessionPosition{{Session: "s", Position: core.Position{Term: 4, LSN: 9}}}
		Expect(p.SendHandover(ctx, "b", "parkdb", 4, sessions)).To(Succeed())
		var call *peerpb.Call
		Expect(recorder.calls).To(Receive(&call))
		Expect(call.GetHandover().GetFrom()).To(Equal("a"))
		Expect(call.GetHandover().GetSessions()[0].GetPosition().GetLsn()).To(Equal(uint64(9)))
	})
})
