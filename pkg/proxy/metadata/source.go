package metadata

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/mirror"
	"limpetspan/core/pipeline"
	"limpetspan/core/relay"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/pkg/resetconn"
	"limpetspan/platform"
)

// source is a link to a relay.
type source struct {
	id     core.DaemonID
	conn   net.Conn
	reader *bufio.Reader
	// requests matches the relay's answers to the questions.
	requests pipeline.Requests
	// stopCancelHook removes the hook that closes the link when the copy's context ends.
	stopCancelHook func() bool
}

func (s *source) close() {
	s.stopCancelHook()
	_ = s.conn.Close()
}

// Errors of a question to another daemon.
var (
	// ErrUnavailable is returned if the daemon answers that it has just started, is stopping, or does
	// not hold the requested scope.
	ErrUnavailable = errors.New("the daemon cannot provide the requested data")
	errNoAddr      = errors.New("the daemon's address is not known")
	errUnsolicited = errors.New("an answer came while no question awaits one")
)

// askRelay executes a step that asks a relay.
func (c *Copy) askRelay(step relay.Step) {
	c.mu.Lock()
	requested := c.requestedScope
	c.mu.Unlock()
	proof, changed, err := c.query(step, requested)
	if err == nil {
		c.Owner.ReportDependency(relayDependency, nil)
		c.updateFollower(func(f *relay.Follower) {
			f.Reached(c.mirror.Position())
			f.RelayAnswered(c.Now(), step.Peer, proof, changed)
		})
		return
	}
	c.closeSource()
	c.mu.Lock()
	interrupted := c.requestedScope != requested
	c.mu.Unlock()
	if interrupted {
		return
	}
	c.Owner.ReportDependency(relayDependency, fmt.Errorf("%s: %w", step.Peer, err))
	c.updateFollower(func(f *relay.Follower) { f.RelayFailed(c.Now(), step.Peer) })
}

// query asks the relay, over the open link if there is one, and applies the answer. It returns the
// relay's proof, dated on this daemon's clock by proofTime, and whether the answer has changes.
func (c *Copy) query(step relay.Step, scope reportpb.Scope) (proof core.Time, changed bool, err error) {
	deadline := time.Now().Add(step.Timeout)
	if err := c.connect(step.Peer, deadline); err != nil {
		return 0, false, err
	}
	_ = c.source.conn.SetDeadline(deadline)
	c.setAwaitedConn(c.source.conn, scope)
	defer c.setAwaitedConn(nil, scope)
	sent := c.Now()
	a, err := c.source.exchange(&reportpb.Question{Version: c.Version(), WaitMs: uint64(step.Wait / time.Millisecond), Scope: scope})
	if err != nil {
		return 0, false, err
	}
	proof = proofTime(sent, c.Now(), a.ProofNs)
	if err := c.install(a.Catalog); err != nil {
		return 0, false, err
	}
	position := mirror.Position{Era: mirror.Era(a.Era), Revision: mirror.Revision(a.Revision)}
	changed = a.Catalog != nil || a.Whole || len(a.Items) > 0
	return proof, changed, c.apply(scope, position, decodeItems(a.Items), a.Whole, proof)
}

// setAwaitedConn records the connection on which an answer is pending, nil if there is none, so
// that IncludeMembers can abort the wait. If IncludeMembers was called after the question's scope was
// read, the wait is aborted at once.
func (c *Copy) setAwaitedConn(conn net.Conn, scope reportpb.Scope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitedConn = conn
	if conn != nil && c.requestedScope != scope {
		_ = conn.SetDeadline(time.Unix(1, 0))
	}
}

// exchange sends one question and reads the answer. After an error the link must be closed.
func (s *source) exchange(q *reportpb.Question) (*reportpb.Answer, error) {
	s.requests.Sent(1)
	q.Number = s.requests.Expected()
	if _, err := protodelim.MarshalTo(s.conn, q); err != nil {
		return nil, err
	}
	var a reportpb.Answer
	if err := (protodelim.UnmarshalOptions{MaxSize: maxAnswerBytes}).UnmarshalFrom(s.reader, &a); err != nil {
		return nil, err
	}
	if err := s.accept(a.Number); err != nil {
		return nil, err
	}
	if a.Unknown {
		return nil, ErrUnavailable
	}
	return &a, nil
}

// accept returns an error unless the answer with the number is that to the question. number is 0 if the answer has
// none. The first answer on a link shows whether the relay numbers its answers.
func (s *source) accept(number uint64) error {
	if s.requests.Expected() == 1 {
		s.requests = pipeline.NewRequests(number != 0)
		s.requests.Sent(1)
	}
	err := s.requests.Accept(number)
	s.requests.Complete()
	return err
}

// checkUnread returns an error if the relay has closed the link, or if an answer has arrived that no question awaits.
func (s *source) checkUnread() error {
	if s.reader.Buffered() > 0 {
		return errUnsolicited
	}
	c, ok := s.conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var b [1]byte
	n, err := resetconn.PeekUnread(raw, b[:])
	if err == nil && n > 0 {
		err = errUnsolicited
	}
	return err
}

// maxAnswerBytes bounds an answer. A full copy with ten thousand members and the configuration is
// smaller.
const maxAnswerBytes = 64 << 20

// proofTime returns the time of an answer's proof on this daemon's clock. sent is when the question
// was sent and received when the answer was received. offset is the time in nanoseconds from the
// question's arrival at the relay to the proof, negative if the proof is older.
//
// The question was sent before it arrived, so the result is never later than the actual time of the
// proof. It is at most received, whatever offset the answer contains.
func proofTime(sent, received core.Time, offset int64) core.Time {
	return min(received, sent.Add(time.Duration(offset)))
}

// connect opens a link to the daemon, unless one is open on which the next answer is that to the next question.
func (c *Copy) connect(id core.DaemonID, deadline time.Time) error {
	if c.source != nil && c.source.id == id {
		err := c.source.checkUnread()
		if err == nil {
			return nil
		}
		if errors.Is(err, errUnsolicited) {
			c.Owner.ReportDependency(relayDependency, fmt.Errorf("%s: %w", id, err))
		}
	}
	c.closeSource()
	addr, ok := c.Owner.Addr(id)
	if !ok {
		return errNoAddr
	}
	s, err := c.open(addr, deadline)
	if err == nil {
		s.id = id
		c.source = s
	}
	return err
}

// open opens a link for questions. The link is closed when the copy's context ends: an answer may
// take seconds, and a process that waited for it would be killed at the end of its grace period.
func (c *Copy) open(addr string, deadline time.Time) (*source, error) {
	conn, err := net.DialTimeout("tcp", addr, min(dialTimeout, time.Until(deadline)))
	if err != nil {
		return nil, err
	}
	s := &source{conn: conn, reader: bufio.NewReader(conn)}
	s.stopCancelHook = context.AfterFunc(c.ctx, func() { _ = conn.Close() })
	_ = conn.SetDeadline(deadline)
	if _, err := protodelim.MarshalTo(conn, &reportpb.Hello{Entry: string(c.Self), Configuration: true}); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (c *Copy) closeSource() {
	if c.source != nil {
		c.source.close()
		c.source = nil
	}
}

// CatchUp fetches the configuration from the daemon at the address, which has the given version, if
// that is higher than this daemon's. It reports whether it tried: it does not for catchUpRetry after
// a fetch that did not bring the wanted version.
//
// The entry and the home of a session receive a change at different times, up to a second apart, and
// a session for a new database has to be served meanwhile.
func (c *Copy) CatchUp(addr string, version uint64) (tried bool, err error) {
	if version <= c.Version() {
		return false, nil
	}
	c.catchingUp.Lock()
	defer c.catchingUp.Unlock()
	if version <= c.Version() || c.Now() < c.nextCatchUp {
		return false, nil
	}
	err = c.Fetch(addr)
	if c.Version() < version {
		c.nextCatchUp = c.Now().Add(catchUpRetry)
	}
	return true, err
}

// RefreshConfiguration fetches a newer configuration from this daemon's relay. Concurrent calls
// share one question, and refreshInterval limits the rate of questions, so that guessed keys cause
// no load on other daemons. A daemon that watches the store does nothing: it receives changes within
// milliseconds.
func (c *Copy) RefreshConfiguration() {
	_, _, _ = c.refreshes.Do("", func() (any, error) {
		at := c.Now()
		c.mu.Lock()
		id, ok := c.follower.Source()
		c.mu.Unlock()
		if !ok || at < core.Time(c.nextRefresh.Load()) {
			return nil, nil
		}
		c.nextRefresh.Store(int64(at.Add(refreshInterval)))
		addr, ok := c.Owner.Addr(id)
		if !ok {
			return nil, nil
		}
		if err := c.Fetch(addr); err != nil {
			c.Owner.ReportDependency(relayDependency, fmt.Errorf("%s: %w", id, err))
		}
		return nil, nil
	})
}

// Fetch asks the daemon at the address once, over a new link, and installs its configuration.
func (c *Copy) Fetch(addr string) error {
	s, err := c.open(addr, time.Now().Add(catchUpTimeout))
	if err != nil {
		return err
	}
	defer s.close()
	a, err := s.exchange(&reportpb.Question{Version: c.Version()})
	if err != nil {
		return err
	}
	return c.install(a.Catalog)
}

func decodeItems(list []*reportpb.Item) []platform.Item {
	items := make([]platform.Item, 0, len(list))
	for _, i := range list {
		items = append(items, platform.Item{Key: i.Key, Value: i.Value, Revision: mirror.Revision(i.Revision), Lease: i.Lease, Deleted: i.Deleted})
	}
	return items
}
