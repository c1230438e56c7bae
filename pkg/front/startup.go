package front

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/pkg/errs"
)

// Codes in the place of a startup packet's protocol version.
const (
	codeCancel  = 1234<<16 | 5678
	codeTLS     = 1234<<16 | 5679
	codeGSS     = 1234<<16 | 5680
	majorNumber = 3
)

// Sizes of startup packets, in bytes.
const (
	startupHeader    = 8
	maxStartupPacket = 10_000
	// cancelPacket is a CancelRequest with the secret of protocol 3.0.
	cancelPacket = 16
	// maxNegotiations bounds the TLS and GSS requests before the startup message.
	maxNegotiations = 3
)

// errCancelRequest says that the connection only brought a CancelRequest.
var errCancelRequest = errors.New("front: cancel request")

// start takes the connection from its first byte to its first ReadyForQuery.
func (c *caller) start() error {
	if err := c.beginStart(); err != nil {
		return err
	}
	packet, version, err := c.startupPacket()
	if err != nil {
		return c.startError(err)
	}
	parameters, err := parseStartup(packet)
	if err != nil {
		return err
	}
	if err := c.negotiate(version, parameters); err != nil {
		return c.startError(err)
	}
	if err := c.takeParameters(parameters); err != nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return c.startError(err)
	}
	if err := c.server.admit(c); err != nil {
		return err
	}
	return c.startError(c.welcome(parameters))
}

// beginStart sets the bound of the startup, unless the server is draining.
// Later nobody moves the deadline but drain.
func (c *caller) beginStart() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.draining.Load() {
		return shuttingDown()
	}
	c.conn.SetDeadline(time.Now().Add(c.server.options.StartupTimeout))
	return nil
}

// startError turns a read that timed out into what the caller is to be told.
func (c *caller) startError(err error) error {
	var timeout interface{ Timeout() bool }
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return err
	}
	if c.server.draining.Load() {
		return shuttingDown()
	}
	return notRun(kindInvalidStartup, stepStartup, "the startup took longer than %v", c.server.options.StartupTimeout)
}

// startupPacket answers TLS and GSS requests until a startup message comes,
// and returns what follows its version.
func (c *caller) startupPacket() ([]byte, uint32, error) {
	for range maxNegotiations {
		length, code, err := c.startupHeader()
		if err != nil {
			return nil, 0, err
		}
		switch {
		case code == codeTLS && length == startupHeader:
			if err := c.upgrade(); err != nil {
				return nil, 0, err
			}
		case code == codeGSS && length == startupHeader:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, 0, err
			}
		case code == codeCancel && length == cancelPacket:
			return nil, 0, c.cancelRequest()
		case code>>16 == majorNumber:
			return c.startupBody(length, code)
		default:
			return nil, 0, notRun(errs.Unsupported, stepStartup, "unsupported frontend protocol %d.%d; 3.0 is supported",
				code>>16, code&0xffff)
		}
	}
	return nil, 0, notRun(errs.BadRequest, stepStartup, "too many encryption requests")
}

// startupHeader reads exactly the header: what follows a TLS request must be
// left to the handshake.
func (c *caller) startupHeader() (length int, code uint32, err error) {
	var header [startupHeader]byte
	if _, err := io.ReadFull(c.conn, header[:]); err != nil {
		return 0, 0, err
	}
	claimed := binary.BigEndian.Uint32(header[:])
	if claimed < startupHeader || claimed > maxStartupPacket {
		return 0, 0, notRun(errs.BadRequest, stepStartup,
			"malformed startup packet: a length of %d to %d bytes is allowed", startupHeader, maxStartupPacket)
	}
	return int(claimed), binary.BigEndian.Uint32(header[4:]), nil
}

func (c *caller) startupBody(length int, version uint32) ([]byte, uint32, error) {
	if c.server.options.RequireTLS && c.conn == c.socket {
		return nil, 0, notRun(kindInvalidStartup, stepStartup, "TLS is required; connect with sslmode=require or stricter")
	}
	packet := make([]byte, length-startupHeader)
	_, err := io.ReadFull(c.conn, packet)
	return packet, version, err
}

// upgrade answers a TLS request.
func (c *caller) upgrade() error {
	if c.server.tls == nil || c.conn != c.socket {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	secure := tls.Server(belowTLS(c.socket), c.server.tls)
	if err := secure.Handshake(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = secure
	return nil
}

// cancelRequest passes a cancel on. It is never answered.
func (c *caller) cancelRequest() error {
	var body [cancelPacket - startupHeader]byte
	if _, err := io.ReadFull(c.conn, body[:]); err != nil {
		return err
	}
	pid, secret := binary.BigEndian.Uint32(body[:]), binary.BigEndian.Uint32(body[4:])
	if !c.server.CancelKey(pid, secret) {
		c.server.options.CancelElsewhere(pid, secret)
	}
	return errCancelRequest
}

// protocolOptionPrefix begins the names of optional protocol features.
const protocolOptionPrefix = "_pq_."

// negotiate tells a caller that asks for more than protocol 3.0 that this is
// what it gets.
func (c *caller) negotiate(version uint32, parameters []parameter) error {
	var unknown []string
	for _, p := range parameters {
		if strings.HasPrefix(p.name, protocolOptionPrefix) {
			unknown = append(unknown, p.name)
		}
	}
	if version&0xffff == 0 && len(unknown) == 0 {
		return nil
	}
	body := binary.BigEndian.AppendUint32(nil, majorNumber<<16)
	body = binary.BigEndian.AppendUint32(body, uint32(len(unknown)))
	for _, name := range unknown {
		body = append(append(body, name...), 0)
	}
	message := binary.BigEndian.AppendUint32([]byte{'v'}, uint32(len(body)+4))
	_, err := c.conn.Write(append(message, body...))
	return err
}

// welcome says that the caller is in.
func (c *caller) welcome(parameters []parameter) error {
	b := appendMessage(nil, &pgproto3.AuthenticationOk{})
	b = append(b, c.server.parameters...)
	b = appendParameter(b, "session_authorization", c.user)
	for _, p := range parameters {
		if p.name == "application_name" {
			b = appendParameter(b, p.name, p.value)
		}
	}
	secret := binary.BigEndian.AppendUint32(nil, c.key.secret)
	b = appendMessage(b, &pgproto3.BackendKeyData{ProcessID: c.key.pid, SecretKey: secret})
	b = appendMessage(b, &pgproto3.ReadyForQuery{TxStatus: c.tx.status()})
	if _, err := c.conn.Write(b); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseRunning
	c.woken = false
	return c.conn.SetDeadline(time.Time{})
}

func appendParameter(b []byte, name, value string) []byte {
	return appendMessage(b, &pgproto3.ParameterStatus{Name: name, Value: value})
}

// appendMessage encodes a short message; that cannot fail.
func appendMessage(b []byte, m pgproto3.Message) []byte {
	out, err := m.Encode(b)
	if err != nil {
		return b
	}
	return out
}
