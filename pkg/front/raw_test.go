package front

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawClient is a client whose messages are written by hand.
type rawClient struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
}

// dialRaw connects without a startup.
func (r *rig) dialRaw() *rawClient {
	GinkgoHelper()
	conn, err := net.Dial("tcp", r.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitLimit))
	return &rawClient{conn, pgproto3.NewFrontend(conn, conn)}
}

// connectRaw connects and waits for the first ReadyForQuery; needs Trust.
func (r *rig) connectRaw() *rawClient {
	GinkgoHelper()
	c := r.dialRaw()
	c.write(startup(map[string]string{"user": "app"}))
	c.untilReady()
	return c
}

func trust(o *Options) { o.Users, o.Trust = nil, true }

// startup encodes a StartupMessage.
func startup(parameters map[string]string) []byte {
	b, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}).Encode(nil)
	Expect(err).NotTo(HaveOccurred())
	return b
}

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b = appendMessage(b, m)
	}
	return b
}

func (c *rawClient) write(b []byte) {
	GinkgoHelper()
	_, err := c.conn.Write(b)
	Expect(err).NotTo(HaveOccurred())
}

// rawAnswer is what came up to a ReadyForQuery.
type rawAnswer struct {
	// Kinds are the message types in order.
	Kinds  string
	Rows   []string
	Tags   []string
	State  string
	Detail string
	Status byte
}

// untilReady reads one answer.
func (c *rawClient) untilReady() rawAnswer {
	GinkgoHelper()
	var a rawAnswer
	for a.Status == 0 {
		c.next(&a)
	}
	return a
}

// next reads one message into the answer.
func (c *rawClient) next(a *rawAnswer) {
	GinkgoHelper()
	message, err := c.frontend.Receive()
	Expect(err).NotTo(HaveOccurred())
	switch m := message.(type) {
	case *pgproto3.DataRow:
		a.Rows = append(a.Rows, string(m.Values[0]))
	case *pgproto3.CommandComplete:
		a.Tags = append(a.Tags, string(m.CommandTag))
	case *pgproto3.ErrorResponse:
		a.State, a.Detail = m.Code, m.Detail
	case *pgproto3.ReadyForQuery:
		a.Status = m.TxStatus
	}
	encoded, err := message.Encode(nil)
	Expect(err).NotTo(HaveOccurred())
	a.Kinds += string(encoded[:1])
}

// query runs one simple query.
func (c *rawClient) query(sql string) rawAnswer {
	GinkgoHelper()
	c.write(encode(&pgproto3.Query{String: sql}))
	return c.untilReady()
}

// fatal reads a FATAL error and the end of the stream, and returns the SQLSTATE.
func (c *rawClient) fatal() string {
	GinkgoHelper()
	message, err := c.frontend.Receive()
	Expect(err).NotTo(HaveOccurred())
	Expect(message).To(BeAssignableToTypeOf(&pgproto3.ErrorResponse{}))
	response := message.(*pgproto3.ErrorResponse)
	Expect(response.Severity).To(Equal("FATAL"))
	code := response.Code
	_, err = c.frontend.Receive()
	Expect(err).To(HaveOccurred())
	return code
}

// frame builds a message by hand.
func frame(kind byte, length uint32, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, length), body...)
}
