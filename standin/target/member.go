package target

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
)

// maxHistory bounds the term starts that a member reports.
const maxHistory = 32

// Member is one member of a group.
type Member struct {
	group   *Group
	options MemberOptions
	ctx     context.Context
	addr    string

	// mu guards the state below. It is held for reading while a statement
	// reads the committed database and for writing while a commit or the
	// replication changes it, so that a read sees whole transactions and the
	// position asked afterwards covers what it saw.
	mu   sync.RWMutex
	term core.Term
	role core.Role
	// leadership counts the changes of role and the crashes: a transaction may
	// commit only in the leadership it began in.
	leadership uint64
	history    []core.TermStart
	log        []*Record
	leaving    bool
	lag        Lag
	// paused is closed when the member resumes; nil: it runs.
	paused   chan struct{}
	crashed  bool
	listener net.Listener
	store    *store

	// writer is held by the one open write transaction.
	writer chan struct{}
	// slots is held by each running statement.
	slots chan struct{}
	// statements counts those that took a slot.
	statements atomic.Int64
	// traffic counts the bytes from and to clients.
	traffic atomic.Int64
	// schema counts the changes of any schema.
	schema atomic.Uint64
	// news receives when another member may have something for this one.
	news chan struct{}

	// cut says from whom the member is cut off; guarded by Group.network too.
	cut    Partition
	faults linkFaults

	sessionsMu sync.Mutex
	sessions   map[uint32]*session
}

func newMember(g *Group, options MemberOptions) (*Member, error) {
	if options.Latency == 0 {
		options.Latency = g.options.Latency
	}
	s, err := newStore()
	if err != nil {
		return nil, fmt.Errorf("target: member %s: %w", options.ID, err)
	}
	m := &Member{
		group:    g,
		options:  options,
		lag:      options.Lag,
		store:    s,
		writer:   make(chan struct{}, 1),
		slots:    make(chan struct{}, g.options.Slots),
		news:     make(chan struct{}, 1),
		sessions: make(map[uint32]*session),
	}
	m.faults.changed = make(chan struct{})
	return m, nil
}

// ID returns the member's id.
func (m *Member) ID() core.MemberID { return m.options.ID }

// Zone returns the member's availability zone.
func (m *Member) Zone() core.Zone { return m.options.Zone }

// Addr returns the address at which the member listens, once the group was
// started; it outlives a crash.
func (m *Member) Addr() string { return m.addr }

// Status returns what the member would report now.
func (m *Member) Status() core.Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.status()
}

// Statements returns how many statements have taken a slot; on a replica all of
// them are reads of callers.
func (m *Member) Statements() int64 { return m.statements.Load() }

// Traffic returns how many bytes the member has received from clients and sent
// to them.
func (m *Member) Traffic() int64 { return m.traffic.Load() }

// Log returns the transactions that the member holds, in order.
func (m *Member) Log() []*Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]*Record(nil), m.log...)
}

// status needs mu.
func (m *Member) status() core.Status {
	position := m.position()
	return core.Status{
		Term:        m.term,
		Role:        m.role,
		LSN:         position.LSN,
		LogTerm:     position.Term,
		History:     append([]core.TermStart(nil), m.history...),
		Connections: m.workSessions(),
		Leaving:     m.leaving,
	}
}

// position needs mu.
func (m *Member) position() core.Position {
	if len(m.log) == 0 {
		return core.Position{}
	}
	return m.log[len(m.log)-1].Position()
}

const (
	// listenTries and listenWait bound the wait for the former port, which
	// another process may hold for a moment.
	listenTries = 40
	listenWait  = 50 * time.Millisecond
)

// members counts the members of this process that have listened.
var members atomic.Uint32

// ownAddr is any port of a loopback address that nothing else uses. On a shared one, the
// port of a member that has crashed could be given to another process, and the member
// could not start again: "address already in use".
func ownAddr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8%254, pid%256, 1+members.Add(1)%254)
}

// listen opens the listener, at the former address after a crash.
func (m *Member) listen() error {
	addr := cmp.Or(m.addr, m.options.Listen, ownAddr())
	listener, err := net.Listen("tcp", addr)
	for i := 1; err != nil && i < listenTries; i++ {
		time.Sleep(listenWait)
		listener, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener = listener
	m.mu.Unlock()
	if m.addr == "" {
		m.addr = listener.Addr().String()
	}
	m.group.tasks.Go(func() error { m.accept(listener); return nil })
	return nil
}

func (m *Member) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		m.group.tasks.Go(func() error { newSession(m, conn).serve(); return nil })
	}
}

// stop closes the listener and resets all connections.
func (m *Member) stop() {
	m.mu.RLock()
	listener := m.listener
	m.mu.RUnlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, s := range m.snapshotSessions() {
		s.link.reset()
	}
}

func (m *Member) addSession(s *session) {
	m.sessionsMu.Lock()
	defer m.sessionsMu.Unlock()
	m.sessions[s.pid] = s
}

func (m *Member) removeSession(s *session) {
	m.sessionsMu.Lock()
	defer m.sessionsMu.Unlock()
	delete(m.sessions, s.pid)
}

func (m *Member) session(pid uint32) *session {
	m.sessionsMu.Lock()
	defer m.sessionsMu.Unlock()
	return m.sessions[pid]
}

func (m *Member) snapshotSessions() []*session {
	m.sessionsMu.Lock()
	defer m.sessionsMu.Unlock()
	list := make([]*session, 0, len(m.sessions))
	for _, s := range m.sessions {
		list = append(list, s)
	}
	return list
}

func (m *Member) workSessions() int {
	m.sessionsMu.Lock()
	defer m.sessionsMu.Unlock()
	n := 0
	for _, s := range m.sessions {
		if sessionClass(s.class.Load()) == classWork {
			n++
		}
	}
	return n
}

// endWork terminates the work connections; control connections live on.
func (m *Member) endWork() {
	for _, s := range m.snapshotSessions() {
		if sessionClass(s.class.Load()) == classWork {
			s.link.kill()
		}
	}
}
