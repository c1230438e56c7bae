package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// requestTimeout is how long a caller waits for an answer.
const requestTimeout = 5 * time.Second

// span is the time of an acknowledged write.
type span struct{ began, ended time.Time }

// ledger is what the callers know of their writes.
type ledger struct {
	mu           sync.Mutex
	next         int
	acknowledged map[int]span
	reads        int
	roamed       int
	stale        int
	refused      int
	unknown      int
}

// number gives out the id of a write; no id is used twice.
func (l *ledger) number() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return l.next
}

func (l *ledger) acknowledge(id int, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acknowledged == nil {
		l.acknowledged = map[int]span{}
	}
	l.acknowledged[id] = span{began, time.Now()}
}

func (l *ledger) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcomeOf(err) == "not_run" {
		l.refused++
		return
	}
	l.unknown++
}

func (l *ledger) read(roamed, stale bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if roamed {
		l.roamed++
	}
	if stale {
		l.stale++
	}
}

// firstAfter is the earliest acknowledgment of a write that began after t, zero
// if none. A write that ran before t may still be acknowledged after it.
func (l *ledger) firstAfter(t time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, w := range l.acknowledged {
		if w.began.After(t) && (first.IsZero() || w.ended.Before(first)) {
			first = w.ended
		}
	}
	return first
}

// outcomeOf reads the outcome from an error's DETAIL; "unknown" without one.
func outcomeOf(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		for field := range strings.FieldsSeq(e.Detail) {
			if outcome, ok := strings.CutPrefix(field, "outcome="); ok {
				return outcome
			}
		}
	}
	return "unknown"
}

// caller is one session with a connection to each daemon.
type caller struct {
	run     *run
	session string
	conns   []*pgx.Conn
}

// connect opens the session's connections.
func (d *run) connect(ctx context.Context, session string) (*caller, error) {
	c := &caller{run: d, session: session, conns: make([]*pgx.Conn, len(d.fleet.Daemons()))}
	for i := range c.conns {
		if err := c.reconnect(ctx, i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *caller) reconnect(ctx context.Context, i int) error {
	conn, err := pgx.Connect(ctx, c.run.fleet.URL(c.run.fleet.Daemons()[i]))
	if err != nil {
		return fmt.Errorf("connect to daemon %s: %w", c.run.fleet.Daemons()[i].Place.ID, err)
	}
	if _, err := conn.Exec(ctx, "SET limpetspan.session = '"+c.session+"'"); err != nil {
		return err
	}
	c.conns[i] = conn
	return nil
}

func (c *caller) close() {
	for _, conn := range c.conns {
		_ = conn.Close(context.Background())
	}
}

// work writes through one daemon and reads through the next, until ctx ends.
func (c *caller) work(ctx context.Context, seed int) error {
	l := &c.run.ledger
	for i := seed; ctx.Err() == nil; i++ {
		id := l.number()
		through := i % len(c.conns)
		began := time.Now()
		if err := c.write(through, id); err != nil {
			l.fail(err)
			if err := c.renew(ctx, through); err != nil {
				return err
			}
			continue
		}
		l.acknowledge(id, began)
		reader := (i + 1) % len(c.conns)
		n, err := c.count(reader, id)
		if err != nil {
			if err := c.renew(ctx, reader); err != nil {
				return err
			}
			continue
		}
		l.read(reader != through, n == 0)
	}
	return nil
}

// renew replaces a connection that an error closed.
func (c *caller) renew(ctx context.Context, i int) error {
	if !c.conns[i].IsClosed() || ctx.Err() != nil {
		return nil
	}
	return c.reconnect(ctx, i)
}

func (c *caller) write(through, id int) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	_, err := c.conns[through].Exec(ctx, "INSERT INTO checkouts VALUES ($1, $2)", id, c.session)
	return err
}

// count reads how often the write is there, by a read that a replica may serve.
func (c *caller) count(through, id int) (n int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	err = c.conns[through].QueryRow(ctx, "/*read='true'*/ SELECT count(*) FROM checkouts WHERE id = $1", id).Scan(&n)
	return n, err
}
