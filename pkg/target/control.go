package target

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"limpetspan/core"
	"limpetspan/core/group"
)

// closeTimeout bounds the good-bye of a control connection.
const closeTimeout = 100 * time.Millisecond

// Control is a Controller over PostgreSQL connections. It keeps one connection;
// calls that overlap open their own, so that a fence never waits behind a
// status call on a silent connection.
type Control struct {
	dialer *Dialer
	addr   string

	mu     sync.Mutex
	kept   *pgconn.PgConn
	closed bool
}

var _ Controller = (*Control)(nil)

// Status asks the member for its status.
func (c *Control) Status(ctx context.Context, fresh bool) (core.Status, error) {
	if !fresh {
		return c.call(ctx, StatusSQL)
	}
	status, err := c.callFresh(ctx, StatusSQL)
	if Classify(err) == group.FailureBusy && c.keeps() {
		return c.call(ctx, StatusSQL)
	}
	return status, err
}

// keeps reports whether a connection is kept.
//
// Guard: a frozen home's connections stay open and leave few of the group's
// budget. Candidates that ask on new connections beside their kept ones take
// those from each other, and none reaches a majority: the group has no home
// for as long as the old one is frozen. A member that refuses a connection for
// want of room is alive, so the kept one may be asked in its place.
func (c *Control) keeps() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kept != nil
}

// Fence raises the member's term. When the member refuses, the returned status
// is the one it reports.
func (c *Control) Fence(ctx context.Context, term core.Term) (core.Status, error) {
	return c.change(ctx, fmt.Sprintf(FenceSQL, term))
}

// Promote makes the member primary of the term; refusals as with Fence.
func (c *Control) Promote(ctx context.Context, term core.Term) (core.Status, error) {
	return c.change(ctx, fmt.Sprintf(PromoteSQL, term))
}

// change runs a term change. A kept connection that broke while idle is
// replaced once: repeating the call is safe, because a member refuses a term
// that is not above its own and the status then shows whose term it is.
func (c *Control) change(ctx context.Context, sql string) (core.Status, error) {
	status, err := c.call(ctx, sql)
	if Classify(err) == group.FailureLost && ctx.Err() == nil {
		status, err = c.callFresh(ctx, sql)
	}
	if Classify(err) != group.FailureRejected {
		return status, err
	}
	if reported, statusErr := c.call(ctx, StatusSQL); statusErr == nil {
		status = reported
	}
	return status, err
}

// Exec runs statements that belong to the upkeep of the member, such as
// creating a table, and returns the tag of the last one.
func (c *Control) Exec(ctx context.Context, sql string) (string, error) {
	conn, err := c.take(ctx)
	if err != nil {
		return "", err
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	c.give(conn)
	if err != nil || len(results) == 0 {
		return "", err
	}
	return results[len(results)-1].CommandTag.String(), nil
}

// Close ends the kept connection. Calls under way end on their own.
func (c *Control) Close() error {
	c.mu.Lock()
	conn := c.kept
	c.kept, c.closed = nil, true
	c.mu.Unlock()
	return closeControl(conn)
}

func (c *Control) call(ctx context.Context, sql string) (core.Status, error) {
	conn, err := c.take(ctx)
	if err != nil {
		return core.Status{}, err
	}
	return c.ask(ctx, conn, sql)
}

func (c *Control) callFresh(ctx context.Context, sql string) (core.Status, error) {
	conn, err := c.dialer.connect(ctx, c.addr, ApplicationControl)
	if err != nil {
		return core.Status{}, err
	}
	return c.ask(ctx, conn, sql)
}

func (c *Control) ask(ctx context.Context, conn *pgconn.PgConn, sql string) (core.Status, error) {
	defer c.give(conn)
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return core.Status{}, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return core.Status{}, errors.New("target status: the member did not return one row")
	}
	return parseStatus(results[0].Rows[0])
}

// take hands out the kept connection, or a new one.
func (c *Control) take(ctx context.Context) (*pgconn.PgConn, error) {
	c.mu.Lock()
	conn := c.kept
	c.kept = nil
	c.mu.Unlock()
	if conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	return c.dialer.connect(ctx, c.addr, ApplicationControl)
}

// give keeps the connection in place of the one kept so far: the newest one is
// the least likely to have gone silent.
func (c *Control) give(conn *pgconn.PgConn) {
	c.mu.Lock()
	dispose := conn
	if !conn.IsClosed() && !c.closed {
		dispose, c.kept = c.kept, conn
	}
	c.mu.Unlock()
	if dispose != nil {
		// The good-bye waits for the peer, which may be a silent one.
		go func() { _ = closeControl(dispose) }()
	}
}

func closeControl(conn *pgconn.PgConn) error {
	if conn == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return conn.Close(ctx)
}
