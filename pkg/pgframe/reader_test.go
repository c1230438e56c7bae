package pgframe_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing/iotest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
)

func raw(kind byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

var _ = Describe("Reader", func() {
	It("returns complete messages and grows for a large one", func() {
		stream := bytes.Join([][]byte{raw('D', "one"), raw('D', string(make([]byte, 500))), raw('Z', "I")}, nil)
		r := pgframe.NewReader(iotest.OneByteReader(bytes.NewReader(stream)), 16, 0)
		var got []byte
		for range 3 {
			m, err := r.Next()
			Expect(err).NotTo(HaveOccurred())
			got = append(got, m...)
		}
		Expect(got).To(Equal(stream))
		_, err := r.Next()
		Expect(err).To(Equal(io.EOF))
	})

	It("ends a chunk after a message of the stop set", func() {
		stream := bytes.Join([][]byte{raw('T', "t"), raw('D', "a"), raw('C', "SELECT 1"), raw('Z', "I")}, nil)
		r := pgframe.NewReader(bytes.NewReader(stream), 64, 0)
		chunk, err := r.Chunk(pgframe.Types("CZ"))
		Expect(err).NotTo(HaveOccurred())
		Expect(chunk.Count).To(Equal(3))
		Expect(chunk.LastMessage()).To(BeEquivalentTo(raw('C', "SELECT 1")))
		chunk, err = r.Chunk(pgframe.Types("CZ"))
		Expect(err).NotTo(HaveOccurred())
		Expect(chunk.LastMessage()).To(BeEquivalentTo(raw('Z', "I")))
		Expect(r.Buffered()).To(BeZero())
	})

	It("passes any stream through unchanged, also messages larger than the buffer", func() {
		random := rand.New(rand.NewPCG(1, 2))
		var stream []byte
		messages := 0
		for range 400 {
			stream = append(stream, raw(byte('A'+random.IntN(26)), string(make([]byte, random.IntN(120))))...)
			messages++
		}
		r := pgframe.NewReader(iotest.HalfReader(bytes.NewReader(stream)), 64, 0)
		var got []byte
		begun, partial := 0, 0
		for {
			chunk, err := r.Chunk(pgframe.Types("QZ"))
			if err == io.EOF {
				break
			}
			Expect(err).NotTo(HaveOccurred())
			got = append(got, chunk.Bytes...)
			begun += chunk.Count
			if chunk.Partial {
				partial++
			}
		}
		Expect(got).To(Equal(stream))
		Expect(begun).To(Equal(messages))
		Expect(partial).To(BeNumerically(">", 0))
	})

	DescribeTable("refuses", func(stream []byte, max int, match OmegaMatcher) {
		_, err := pgframe.NewReader(bytes.NewReader(stream), 32, max).Next()
		Expect(err).To(match)
		_, err = pgframe.NewReader(bytes.NewReader(stream), 32, max).Chunk(pgframe.TypeSet{})
		Expect(err).To(match)
	},
		Entry("a length below its own size", []byte{'Q', 0, 0, 0, 3}, 0, MatchError(pgframe.ErrMalformed)),
		Entry("a negative length", []byte{'Q', 0xff, 0xff, 0xff, 0xff}, 0, MatchError(pgframe.ErrMalformed)),
		Entry("a message above the bound", raw('Q', string(make([]byte, 30))), 20, BeAssignableToTypeOf(&pgframe.TooLargeError{})),
		Entry("an end inside a message", raw('Q', "abc")[:6], 0, MatchError(io.ErrUnexpectedEOF)),
	)
})

var _ = Describe("AppendError", func() {
	It("says outcome, step, peer and when to come back", func() {
		e := errs.New(errs.Overloaded, core.OutcomeNotRun, "home.queue", "d1", "the queue is full").WithRetryAfter(20 * time.Millisecond)
		buf := pgframe.AppendReadyForQuery(pgframe.AppendError(nil, pgframe.SeverityError, e), pgframe.StatusIdle)
		front := pgproto3.NewFrontend(bytes.NewReader(buf), nil)
		message, err := front.Receive()
		Expect(err).NotTo(HaveOccurred())
		response := message.(*pgproto3.ErrorResponse)
		Expect(response.Code).To(Equal("53300"))
		Expect(response.Message).To(Equal("the queue is full"))
		Expect(response.Detail).To(Equal("outcome=not_run step=home.queue peer=d1 retry_after_ms=20"))
		Expect(response.Hint).To(Equal("Come back after 20 ms."))
	})
})
