package target

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"net"
	"strings"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/standin/target/internal/engine"
)

// controlApplication is the application name, up to a colon, of connections
// that survive a fence and may connect to a leaving member.
const controlApplication = "limpetspan-control"

// secretSize is the length of a cancel key in protocol 3.0.
const secretSize = 4

// maxMessage bounds a client's message, in bytes.
const maxMessage = 64 << 20

// sessionClass tells sessions apart in a fence.
type sessionClass int32

const (
	// classNew has not yet authenticated.
	classNew sessionClass = iota
	classWork
	classControl
)

// session is one client connection.
type session struct {
	member *Member
	link   *link
	back   *pgproto3.Backend
	pid    uint32
	secret []byte
	class  atomic.Int32
	// interrupt receives a cancel request; running says that one counts.
	interrupt chan struct{}
	running   atomic.Bool

	tx transaction
	// reader reads the committed database of the name.
	reader     *engine.Conn
	readerName string
	prepared   map[string]*prepared
	statements map[string]*prepared
	portals    map[string]*portal
	// skipping: an error was sent, all up to Sync is ignored.
	skipping bool
	// taken: the session counts in the group's connection budget.
	taken bool
	reply reply
}

// maxPrepared bounds the statements that a session keeps by their text.
const maxPrepared = 512

func newSession(m *Member, conn net.Conn) *session {
	l := newLink(m, conn)
	s := &session{
		member:     m,
		link:       l,
		back:       pgproto3.NewBackend(l, l),
		pid:        m.group.nextPID.Add(1),
		secret:     make([]byte, secretSize),
		interrupt:  make(chan struct{}, 1),
		prepared:   make(map[string]*prepared),
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
	}
	_, _ = rand.Read(s.secret)
	s.back.SetMaxBodyLen(maxMessage)
	return s
}

// serve runs the session to its end.
func (s *session) serve() {
	m := s.member
	m.addSession(s)
	if m.isDown() {
		m.removeSession(s)
		s.link.reset()
		return
	}
	err := s.start()
	if err == nil {
		err = s.loop()
	}
	s.end()
	s.link.goodbye(s.farewell(err))
}

func (m *Member) isDown() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.crashed || m.ctx.Err() != nil
}

// end gives back what the session holds.
func (s *session) end() {
	m := s.member
	m.abortWrite(&s.tx)
	if s.reader != nil {
		s.reader.Close()
	}
	m.removeSession(s)
	if s.taken {
		m.group.connections.give()
	}
}

// farewell returns the last message of a session that ended with err.
func (s *session) farewell(err error) []byte {
	answer, ok := errors.AsType[*Error](err)
	switch {
	case s.link.killed.Load():
		answer = errShutdown
	case !ok || !answer.Fatal:
		return nil
	}
	message, _ := answer.response().Encode(nil)
	return message
}

func fatal(state, message string) *Error {
	return &Error{State: state, Message: message, Fatal: true}
}

// errDone ends a session that has nothing more to say.
var errDone = errors.New("session done")

// start carries out the startup.
func (s *session) start() error {
	startup, err := s.receiveStartup()
	if err != nil {
		return err
	}
	s.setApplication(startup.Parameters["application_name"])
	if err := s.link.await(); err != nil {
		return err
	}
	if err := s.admit(startup); err != nil {
		return err
	}
	return s.greet(startup)
}

func (s *session) receiveStartup() (*pgproto3.StartupMessage, error) {
	for {
		message, err := s.back.ReceiveStartupMessage()
		if err != nil {
			return nil, s.protocolError(err)
		}
		switch message := message.(type) {
		case *pgproto3.StartupMessage:
			return message, nil
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.link.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.member.cancelSession(message)
			return nil, errDone
		}
	}
}

// protocolError tells a malformed message from a lost connection.
func (s *session) protocolError(err error) error {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, errKilled) || strings.Contains(err.Error(), "EOF") {
		return err
	}
	return fatal(stateProtocol, err.Error())
}

// setApplication classifies the session by its application name; what follows
// a colon is the tag by which a partition may select it.
func (s *session) setApplication(name string) {
	base, tag, tagged := strings.Cut(name, ":")
	if tagged {
		s.link.tag.Store(&tag)
	}
	if base == controlApplication {
		s.class.Store(int32(classControl))
	}
}

// admit checks the budget, the member's state and the password.
func (s *session) admit(startup *pgproto3.StartupMessage) error {
	m, options := s.member, &s.member.group.options
	if !m.group.connections.take() {
		return fatal(stateTooMany, "sorry, too many clients already")
	}
	s.taken = true
	m.sleep(s.link.ctx, options.ConnectCost)
	if !s.isControl() && m.isLeaving() {
		return fatal(stateCannotConnect, errLeaving.Message)
	}
	if options.Database != "" && startup.Parameters["database"] != options.Database {
		return fatal(stateNoDatabase, "database \""+startup.Parameters["database"]+"\" does not exist")
	}
	if startup.ProtocolVersion != pgproto3.ProtocolVersion30 {
		s.back.Send(&pgproto3.NegotiateProtocolVersion{})
	}
	return s.authenticate(startup.Parameters["user"])
}

func (s *session) isControl() bool { return sessionClass(s.class.Load()) == classControl }

func (m *Member) isLeaving() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaving
}

func (s *session) authenticate(user string) error {
	options := &s.member.group.options
	password := ""
	if options.Password != "" {
		s.back.Send(&pgproto3.AuthenticationCleartextPassword{})
		if err := s.back.Flush(); err != nil {
			return err
		}
		message, err := s.back.Receive()
		if err != nil {
			return s.protocolError(err)
		}
		given, ok := message.(*pgproto3.PasswordMessage)
		if !ok {
			return fatal(stateProtocol, "expected a password message")
		}
		password = given.Password
	}
	wrongUser := options.User != "" && user != options.User
	if wrongUser || subtle.ConstantTimeCompare([]byte(password), []byte(options.Password)) != 1 {
		return fatal(stateBadPassword, "password authentication failed for user \""+user+"\"")
	}
	return nil
}

// parameters are reported to each client.
var parameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

func (s *session) greet(startup *pgproto3.StartupMessage) error {
	s.back.Send(&pgproto3.AuthenticationOk{})
	for i := range parameters {
		s.back.Send(&parameters[i])
	}
	s.back.Send(&pgproto3.ParameterStatus{Name: "application_name", Value: startup.Parameters["application_name"]})
	s.back.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	if !s.isControl() {
		s.class.Store(int32(classWork))
	}
	return s.ready()
}

// cancelSession carries out a CancelRequest.
func (m *Member) cancelSession(request *pgproto3.CancelRequest) {
	s := m.session(request.ProcessID)
	if s == nil || subtle.ConstantTimeCompare(s.secret, request.SecretKey) != 1 || !s.running.Load() {
		return
	}
	select {
	case s.interrupt <- struct{}{}:
	default:
	}
}

// context ends when the session is to end.
func (s *session) context() context.Context { return s.link.ctx }
