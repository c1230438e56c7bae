package target

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// goodbyeTimeout bounds the writing of a last message.
const goodbyeTimeout = time.Second

// linkFaults are the faults between a member and its clients.
type linkFaults struct {
	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	paused  bool
	clients bool
	tags    []string
	// silences counts the calls of Silence.
	silences int
	delay    time.Duration
	// delays is how many answers are still late; zero: all.
	delays int
	// any is false when no fault can concern a connection.
	any atomic.Bool
}

// setLinks changes the faults and tells the connections.
func (m *Member) setLinks(set func(*linkFaults)) {
	l := &m.faults
	l.mu.Lock()
	set(l)
	l.any.Store(l.paused || l.clients || len(l.tags) > 0 || l.silences > 0 || l.delay > 0)
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	for _, s := range m.snapshotSessions() {
		s.link.interruptRead()
	}
}

var errKilled = errors.New("connection terminated by the member")

// link is a client's connection with latency and faults. While the client
// can't be reached, reads and writes wait, as TCP would; after the keepalive
// time they fail.
type link struct {
	net.Conn
	member *Member
	ctx    context.Context
	cancel context.CancelFunc
	// tag is what follows the colon of the application name.
	tag    atomic.Pointer[string]
	silent atomic.Bool
	killed atomic.Bool
}

func newLink(m *Member, conn net.Conn) *link {
	l := &link{Conn: conn, member: m}
	l.ctx, l.cancel = context.WithCancel(m.ctx)
	return l
}

// kill ends the connection from another goroutine; the session says goodbye.
func (l *link) kill() {
	l.killed.Store(true)
	l.cancel()
	_ = l.SetDeadline(time.Now())
}

// reset ends the connection as the end of a process does.
func (l *link) reset() {
	l.cancel()
	if tcp, ok := l.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = l.Conn.Close()
}

// interruptRead makes a waiting Read look at the faults.
func (l *link) interruptRead() {
	if !l.killed.Load() {
		_ = l.SetReadDeadline(time.Now())
	}
}

// shut returns whether the client can't be reached now, whether that is only a
// pause of the member itself, and a channel that closes at the next change.
func (l *link) shut() (shut, paused bool, changed <-chan struct{}) {
	f := &l.member.faults
	if !f.any.Load() {
		return false, false, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := f.clients || l.silent.Load()
	if tag := l.tag.Load(); tag != nil && slices.Contains(f.tags, *tag) {
		cut = true
	}
	return cut || f.paused, f.paused && !cut, f.changed
}

// await waits until the client can be reached.
func (l *link) await() error {
	if shut, _, _ := l.shut(); !shut {
		return nil
	}
	keepalive := time.NewTimer(l.member.group.options.Keepalive)
	defer keepalive.Stop()
	return l.awaitUntil(l.ctx, keepalive.C)
}

func (l *link) awaitUntil(ctx context.Context, keepalive <-chan time.Time) error {
	shut, paused, changed := l.shut()
	for shut {
		expired := keepalive
		if paused {
			expired = nil
		}
		select {
		case <-changed:
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-ctx.Done():
			return errKilled
		}
		shut, paused, changed = l.shut()
	}
	return nil
}

// Read reads what the client sent, latency later.
func (l *link) Read(p []byte) (int, error) {
	for {
		if err := l.await(); err != nil {
			return 0, err
		}
		n, err := l.Conn.Read(p)
		l.member.traffic.Add(int64(n))
		if l.killed.Load() {
			return 0, errKilled
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && n == 0 {
			_ = l.SetReadDeadline(time.Time{})
			if l.killed.Load() {
				return 0, errKilled
			}
			continue
		}
		if waitErr := l.await(); waitErr != nil {
			return 0, waitErr
		}
		if n > 0 {
			l.member.sleep(l.ctx, l.member.options.Latency)
		}
		return n, err
	}
}

// Write sends to the client, latency later.
func (l *link) Write(p []byte) (int, error) {
	l.member.sleep(l.ctx, l.member.options.Latency)
	if err := l.await(); err != nil {
		return 0, err
	}
	n, err := l.Conn.Write(p)
	l.member.traffic.Add(int64(n))
	return n, err
}

// goodbye sends a last message, if any, and closes the connection, both once
// the client can be reached: a partition hides the end of a connection too. A
// silent one is kept until the client closes it.
func (l *link) goodbye(message []byte) {
	defer l.cancel()
	stop := context.AfterFunc(l.member.ctx, func() { _ = l.Conn.Close() })
	defer stop()
	if l.silent.Load() {
		_ = l.SetDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, l.Conn)
	} else if l.awaitUntil(l.member.ctx, nil) == nil && len(message) > 0 {
		_ = l.SetWriteDeadline(time.Now().Add(goodbyeTimeout))
		_, _ = l.Conn.Write(message)
	}
	_ = l.Conn.Close()
}

// sleep waits for d or the end of ctx.
func (m *Member) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lateness takes the delay of one answer.
func (m *Member) lateness() time.Duration {
	f := &m.faults
	if !f.any.Load() {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delay := f.delay
	if delay > 0 && f.delays > 0 {
		f.delays--
		if f.delays == 0 {
			f.delay = 0
		}
	}
	return delay
}
