package metadata

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/pipeline"
	"limpetspan/core/relay"
	"limpetspan/pkg/proxy/reportpb"
)

// scriptedRelay sends what respond returns to each question.
type scriptedRelay struct {
	net.Listener
	links atomic.Int32
	// respond returns the answers that are sent in one write. count is the number of the question on its link.
	respond func(count uint64, q *reportpb.Question) []*reportpb.Answer
}

func (s *scriptedRelay) serve() {
	for conn, err := s.Accept(); err == nil; conn, err = s.Accept() {
		s.links.Add(1)
		go s.serveLink(conn)
	}
}

func (s *scriptedRelay) serveLink(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	var hello reportpb.Hello
	if protodelim.UnmarshalFrom(r, &hello) != nil {
		return
	}
	for count := uint64(1); ; count++ {
		var q reportpb.Question
		if protodelim.UnmarshalFrom(r, &q) != nil {
			return
		}
		var out bytes.Buffer
		for _, a := range s.respond(count, &q) {
			_, _ = protodelim.MarshalTo(&out, a)
		}
		if _, err := conn.Write(out.Bytes()); err != nil {
			return
		}
	}
}

var _ = Describe("an answer of a relay that is out of turn", func() {
	const age = time.Minute
	var c *Copy
	var server *scriptedRelay
	var owner *recordingOwner

	// young and old are answers with a proof of the question's arrival and one of a minute before.
	young := func(number uint64) *reportpb.Answer {
		return &reportpb.Answer{Number: number, Era: 1, Revision: 1, Whole: true}
	}
	old := func(number uint64) *reportpb.Answer {
		return &reportpb.Answer{Number: number, Era: 1, Revision: 1, Whole: true, ProofNs: -int64(age)}
	}

	// ask returns the age of the proof that the relay's answer brings.
	ask := func() (time.Duration, error) {
		proof, _, err := c.query(relay.Step{Peer: "relay", Timeout: waitLimit}, c.requestedScope)
		if err != nil {
			c.closeSource()
		}
		return c.Now().Sub(proof), err
	}
	expectYoung := func() {
		GinkgoHelper()
		got, err := ask()
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(BeNumerically("<", age))
	}
	expectOld := func() {
		GinkgoHelper()
		got, err := ask()
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(BeNumerically(">=", age))
	}
	expectOutOfTurn := func(expected, received uint64) {
		GinkgoHelper()
		_, err := ask()
		Expect(err).To(MatchError(&pipeline.OutOfTurnError{Expected: expected, Received: received}))
	}

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		server = &scriptedRelay{Listener: l}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		owner = &recordingOwner{addrs: map[core.DaemonID]string{"relay": l.Addr().String()}}
		c = newCopy(ctx, owner)
		go server.serve()
	})

	It("is none as long as each question has one answer", func() {
		server.respond = func(count uint64, q *reportpb.Question) []*reportpb.Answer {
			if count%2 == 1 {
				return []*reportpb.Answer{young(q.Number)}
			}
			return []*reportpb.Answer{old(q.Number)}
		}
		for range 3 {
			expectYoung()
			expectOld()
		}
		Expect(server.links.Load()).To(Equal(int32(1)))
	})

	// Guards against a proof that is dated by the next question, so that it appears younger than it is.
	It("is not taken for the next answer if it comes after the next question", func() {
		server.respond = func(count uint64, q *reportpb.Question) []*reportpb.Answer {
			if count == 1 {
				return []*reportpb.Answer{young(q.Number)}
			}
			return []*reportpb.Answer{young(q.Number - 1), old(q.Number)}
		}
		expectYoung()
		expectOutOfTurn(2, 1)
		expectYoung()
		Expect(server.links.Load()).To(Equal(int32(2)))
	})

	// Guards against the same before the next question, also from a daemon of an earlier version. The relay has not
	// failed, so it is asked again.
	DescribeTable("is not taken for the next answer if it comes before the next question", func(number func(*reportpb.Question) uint64) {
		server.respond = func(count uint64, q *reportpb.Question) []*reportpb.Answer {
			if server.links.Load() == 1 {
				return []*reportpb.Answer{young(number(q)), young(number(q))}
			}
			return []*reportpb.Answer{old(number(q))}
		}
		expectYoung()
		expectOld()
		expectOld()
		Expect(server.links.Load()).To(Equal(int32(2)))
	},
		Entry("with numbers", func(q *reportpb.Question) uint64 { return q.Number }),
		Entry("from an earlier version", func(*reportpb.Question) uint64 { return 0 }),
	)

	// Guards against an answer that loses its number on a link where answers have one.
	It("is not accepted without a number", func() {
		server.respond = func(count uint64, q *reportpb.Question) []*reportpb.Answer {
			if count == 1 {
				return []*reportpb.Answer{young(q.Number)}
			}
			return []*reportpb.Answer{young(0)}
		}
		expectYoung()
		expectOutOfTurn(2, 0)
	})

	// Guards against a fleet that does not follow the store while its daemons are replaced.
	It("is not seen at a relay of an earlier version", func() {
		server.respond = func(uint64, *reportpb.Question) []*reportpb.Answer { return []*reportpb.Answer{old(0)} }
		expectOld()
		expectOld()
		Expect(server.links.Load()).To(Equal(int32(1)))
	})
})
