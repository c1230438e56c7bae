package store

import (
	"errors"
	"sync"
	"time"
)

// Limits of the service.
const (
	// MaxValue is the size of a value, in bytes.
	MaxValue = 1 << 20
	// MaxTxnOps is the number of operations in one branch of a transaction.
	MaxTxnOps = 128
	// DefaultHistory is how many events are kept for watches and restores.
	DefaultHistory = 1 << 17
)

// Errors of the engine, with the texts of the real service.
var (
	ErrLeaseNotFound = errors.New("etcdserver: requested lease not found")
	ErrTooLarge      = errors.New("etcdserver: request is too large")
	ErrTooManyOps    = errors.New("etcdserver: too many operations in txn request")
	ErrDuplicateKey  = errors.New("etcdserver: duplicate key given in txn request")
	ErrEmptyKey      = errors.New("etcdserver: key is not provided")
	ErrCompacted     = errors.New("etcdserver: mvcc: required revision has been compacted")
	ErrFuture        = errors.New("etcdserver: mvcc: required revision is a future revision")
	// ErrRestored ends the watches that were open when the store was restored.
	ErrRestored = errors.New("etcdserver: server stopped")
)

// Engine is the store itself. It is safe for concurrent use.
type Engine struct {
	mu    sync.Mutex
	clock Clock
	state *state
	// base is the state before the first event of log.
	base *state
	log  []Event
	// compacted is the last revision whose events are forgotten.
	compacted int64
	history   int
	leases    map[int64]*lease
	// nextLease is not restored, so that a lease id is never used twice.
	nextLease int64
	// nextExpiry is no later than the first end of a lease; zero: no lease.
	nextExpiry time.Time
	stopTimer  func()
	// epoch rises with each restore.
	epoch int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewEngine returns an empty store at revision 1.
func NewEngine(clock Clock) *Engine {
	return &Engine{
		clock:     clock,
		state:     newState(),
		base:      newState(),
		history:   DefaultHistory,
		leases:    make(map[int64]*lease),
		nextLease: 7_000_000_000_000_001, // beyond 2^52: breaks clients that read it as a float
		changed:   make(chan struct{}),
	}
}

// Clock returns the clock the engine runs by.
func (e *Engine) Clock() Clock { return e.clock }

// Revision returns the present revision.
func (e *Engine) Revision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.revision
}

// commit applies events that share one new revision and wakes the watches.
func (e *Engine) commit(events []Event) {
	if len(events) == 0 {
		return
	}
	for _, ev := range events {
		e.state.apply(ev)
	}
	e.log = append(e.log, events...)
	// Twice the history before cutting keeps the cost of a cut off each change.
	if len(e.log) > 2*e.history {
		e.compact(e.log[len(e.log)-e.history].ModRevision)
	}
	e.wake()
}

func (e *Engine) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Compact forgets the history up to and including the revision.
func (e *Engine) Compact(revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.compact(revision)
	e.wake()
}

func (e *Engine) compact(revision int64) {
	n := 0
	for n < len(e.log) && e.log[n].ModRevision <= revision {
		e.base.apply(e.log[n])
		n++
	}
	e.log = append([]Event(nil), e.log[n:]...)
	e.compacted = max(e.compacted, min(revision, e.state.revision))
}

// Restore brings back the state of an older revision, as an operator does from
// a backup: the revision goes back too, the watches break, and the leases
// that the state mentions begin their time anew.
func (e *Engine) Restore(revision int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, n, err := e.at(revision)
	if err != nil {
		return err
	}
	e.state = s
	e.log = append([]Event(nil), e.log[:n]...)
	e.restoreLeases()
	e.epoch++
	e.wake()
	return nil
}

// at rebuilds the state of a revision and counts the events that lead to it.
func (e *Engine) at(revision int64) (*state, int, error) {
	if revision < e.base.revision {
		return nil, 0, ErrCompacted
	}
	if revision > e.state.revision {
		return nil, 0, ErrFuture
	}
	s, n := e.base.clone(), 0
	for n < len(e.log) && e.log[n].ModRevision <= revision {
		s.apply(e.log[n])
		n++
	}
	return s, n, nil
}
