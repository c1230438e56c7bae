package front

import (
	"encoding/binary"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
)

const (
	mechanism = "SCRAM-SHA-256"
	// messageSASL is the type of a SASLInitialResponse and a SASLResponse.
	messageSASL byte = 'p'
	// maxSASLMessage bounds what an unknown caller may send, in bytes.
	maxSASLMessage = 4 << 10
)

// authenticate carries out a SCRAM-SHA-256 exchange. Unknown users go through
// the same exchange and get the same error as a wrong password.
func (c *caller) authenticate() error {
	users := c.server.options.Users
	if users == nil {
		return nil
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		// The name in the exchange is ignored, as in PostgreSQL: the one of
		// the startup message counts.
		return users.lookup(c.user), nil
	})
	if err != nil {
		return err
	}
	if err := c.sayStartup(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}); err != nil {
		return err
	}
	first, err := c.readSASL()
	if err != nil {
		return err
	}
	var initial pgproto3.SASLInitialResponse
	if err := initial.Decode(first); err != nil || initial.AuthMechanism != mechanism {
		return notRun(errs.BadRequest, stepStartup, "malformed authentication message: %s is supported", mechanism)
	}
	conversation := server.NewConversation()
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return c.notAuthenticated()
	}
	if err := c.sayStartup(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return err
	}
	proof, err := c.readSASL()
	if err != nil {
		return err
	}
	final, err := conversation.Step(string(proof))
	if err != nil || !conversation.Valid() {
		return c.notAuthenticated()
	}
	return c.sayStartup(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
}

func (c *caller) notAuthenticated() *errs.Error {
	return notRun(errs.Authentication, stepStartup, "password authentication failed for user %q", c.user)
}

func (c *caller) sayStartup(m pgproto3.BackendMessage) error {
	_, err := c.conn.Write(appendMessage(nil, m))
	return err
}

// readSASL reads one authentication message and nothing behind it.
func (c *caller) readSASL() ([]byte, error) {
	var header [pgframe.HeaderLen]byte
	if _, err := io.ReadFull(c.conn, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if header[0] != messageSASL || length < 4 || length > maxSASLMessage {
		return nil, notRun(errs.BadRequest, stepStartup, "expected an authentication message of at most %d bytes", maxSASLMessage)
	}
	body := make([]byte, length-4)
	_, err := io.ReadFull(c.conn, body)
	return body, err
}
