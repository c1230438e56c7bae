package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/peer/peerpb"
)

func frame(kind byte, payload []byte) []byte {
	return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(payload)+1)), kind), payload...)
}

// nextFrame reads a frame. Its kind is 0 at the end of the stream.
func nextFrame(r io.Reader) (kind byte, payload []byte) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil
	}
	payload = make([]byte, binary.BigEndian.Uint32(head[:])-1)
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil
	}
	return head[4], payload
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	return b
}

// echoed returns the answer to the next request of a stream: its own messages or state, under its number.
func echoed(x io.Reader) []byte {
	kind, payload := nextFrame(x)
	switch kind {
	case 'H':
		var header peerpb.ExchangeHeader
		Expect(proto.Unmarshal(payload, &header)).To(Succeed())
		_, messages := nextFrame(x)
		answer := append(frame('D', messages), frame('E', nil)...)
		return append(frame('N', binary.AppendUvarint(nil, header.Number)), answer...)
	case 'Q':
		var call peerpb.Call
		Expect(proto.Unmarshal(payload, &call)).To(Succeed())
		reply := &peerpb.Reply{Number: call.Number, Sync: &peerpb.SyncReply{State: call.GetSync().GetState()}}
		return frame('A', marshal(reply))
	}
	return nil
}

// serveEchoes is a daemon that answers requests with what change returns. before is the answer to the request before
// on the same stream.
func serveEchoes(change func(before, answer []byte) []byte) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	serveStream := func(x *yamux.Stream) {
		defer GinkgoRecover()
		_, _ = io.ReadFull(x, make([]byte, 1))
		var before []byte
		for answer := echoed(x); answer != nil; answer = echoed(x) {
			_, _ = x.Write(change(before, answer))
			before = answer
		}
	}
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		mux, _ := yamux.Server(conn, yamux.DefaultConfig())
		for x, err := mux.AcceptStream(); err == nil; x, err = mux.AcceptStream() {
			go serveStream(x)
		}
	}()
	return ln.Addr().String()
}

func twice(_, answer []byte) []byte              { return bytes.Repeat(answer, 2) }
func afterRepeated(before, answer []byte) []byte { return append(before, answer...) }

func afterUnnumbered(before, answer []byte) []byte {
	if before == nil {
		return answer
	}
	return append(append(frame('D', []byte("other")), frame('E', nil)...), answer...)
}

var _ = Describe("an answer of a daemon that is out of turn", func() {
	// Guards against a caller that gets the answer to another caller's request, as streams are pooled.
	DescribeTable("is not that to the next exchange", func(ctx SpecContext, change func(before, answer []byte) []byte) {
		client, addr := newClient(peer.ClientOptions{}), serveEchoes(change)
		failed := 0
		for i, messages := range []string{"one", "two", "three", "four"} {
			out := &bytes.Buffer{}
			_, err := client.Exchange(ctx, addr, request(uint64(i+1), messages), out)
			if err != nil {
				failed++
				Expect(errs.As(err).Outcome).To(Equal(core.OutcomeUnknown))
				Expect(out.String()).To(BeEmpty())
				continue
			}
			Expect(out.String()).To(Equal(messages))
		}
		Expect(failed).To(Equal(2))
	},
		Entry("if it is repeated at once", twice),
		Entry("if it is repeated late", afterRepeated),
		Entry("if it has no number", afterUnnumbered),
	)

	// Guards against a reply that is taken for that to another call.
	It("is not that to the next call", func(ctx SpecContext) {
		client, addr := newClient(peer.ClientOptions{}), serveEchoes(twice)
		sync := func(state string) (*peerpb.Reply, error) {
			return client.Call(ctx, addr, &peerpb.Call{Call: &peerpb.Call_Sync{Sync: &peerpb.SyncCall{State: []byte(state)}}})
		}
		reply, err := sync("one")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.GetSync().GetState())).To(Equal("one"))
		_, err = sync("two")
		Expect(err).To(HaveOccurred())
		reply, err = sync("three")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.GetSync().GetState())).To(Equal("three"))
	})
})

var _ = Describe("daemons of different versions", func() {
	It("exchange answers without numbers if the server does not number them", func(ctx SpecContext) {
		client := newClient(peer.ClientOptions{})
		addr := serveEchoes(func(_, answer []byte) []byte {
			r := bytes.NewReader(answer)
			_, _ = nextFrame(r)
			return answer[len(answer)-r.Len():]
		})
		for _, messages := range []string{"one", "two"} {
			out := &bytes.Buffer{}
			_, err := client.Exchange(ctx, addr, request(1, messages), out)
			Expect(err).NotTo(HaveOccurred())
			Expect(out.String()).To(Equal(messages))
		}
	})

	It("exchange answers without numbers if the client does not accept them", func(ctx SpecContext) {
		handler := newFakeHandler()
		handler.do = func(_ context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			_, err := w.Write(req.Messages)
			return exchange.Result{}, err
		}
		addr, _ := serve(handler, nil)
		conn, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		mux, err := yamux.Client(conn, yamux.DefaultConfig())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(mux.Close)
		x, err := mux.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		header := marshal(&peerpb.ExchangeHeader{Group: "g", TimeoutNs: 1e9})
		_, err = x.Write(append([]byte{'X'}, append(frame('H', header), frame('R', []byte("one"))...)...))
		Expect(err).NotTo(HaveOccurred())
		kind, payload := nextFrame(x)
		Expect([]any{kind, string(payload)}).To(Equal([]any{byte('D'), "one"}))
	})
})
