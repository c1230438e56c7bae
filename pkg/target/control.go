package target

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/pgframe"
)

// errUnknown says that a change of the term was sent and that no answer tells what came of it.
var errUnknown = errors.New("target: the outcome is unknown")

// Control is a Controller over PostgreSQL connections. It keeps one connection;
// calls that overlap open their own, so that a fence never waits behind a
// status call on a silent connection. A marker proves each answer.
type Control struct {
	// OnOutOfStep, if set before the first call, is told of each connection that ended with ErrOutOfStep.
	OnOutOfStep func(error)

	dialer *Dialer
	addr   string

	mu     sync.Mutex
	kept   *Conn
	closed bool
}

var _ Controller = (*Control)(nil)

// Status asks the member for its status.
func (c *Control) Status(ctx context.Context, fresh bool) (core.Status, error) {
	if !fresh {
		status, err := c.call(ctx, StatusSQL)
		unanswered := errors.Is(err, ErrOutOfStep) || errors.Is(err, ErrGone)
		if unanswered && Classify(err) == group.FailureLost {
			// The end of an idle connection, or an answer too many, says nothing about the member's state.
			status, err = c.callFresh(ctx, StatusSQL)
		}
		return status, err
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

// change runs a term change. A kept connection that broke is replaced once:
// repeating the call is safe, because a member refuses a term that is not above
// its own and the status then shows whose term it is.
func (c *Control) change(ctx context.Context, sql string) (core.Status, error) {
	status, err := c.call(ctx, sql)
	if Classify(err) == group.FailureLost && ctx.Err() == nil {
		status, err = c.repeat(ctx, sql, err)
	}
	if wasSent(err) {
		return core.Status{}, fmt.Errorf("%w: %w", errUnknown, err)
	}
	if Classify(err) != group.FailureRejected {
		return status, err
	}
	if reported, statusErr := c.call(ctx, StatusSQL); statusErr == nil {
		status = reported
	}
	return status, err
}

// repeat runs a term change again on a new connection. Only an answer to it tells what came of the first call.
func (c *Control) repeat(ctx context.Context, sql string, first error) (core.Status, error) {
	conn, err := c.dial(ctx)
	if err == nil {
		var status core.Status
		status, err = c.ask(ctx, conn, sql)
		if err == nil || Classify(err) == group.FailureRejected {
			return status, err
		}
	}
	if wasSent(first) {
		return core.Status{}, fmt.Errorf("%w; repeated: %v", first, err)
	}
	return core.Status{}, err
}

// wasSent reports whether a call may have run although it failed without an answer.
func wasSent(err error) bool {
	broken, ok := errors.AsType[*Broken](err)
	return ok && broken.Sent
}

// Exec runs statements that belong to the upkeep of the member, such as
// creating a table, and returns the tag of the last one.
func (c *Control) Exec(ctx context.Context, sql string) (string, error) {
	conn, err := c.take(ctx)
	if err != nil {
		return "", err
	}
	runner := NewRunner()
	defer runner.Free()
	if _, err := c.run(ctx, conn, runner, sql); err != nil {
		return "", err
	}
	return strings.TrimSuffix(string(runner.tag), "\x00"), nil
}

// Close ends the kept connection. Calls under way end on their own.
func (c *Control) Close() error {
	c.mu.Lock()
	conn := c.kept
	c.kept, c.closed = nil, true
	c.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	return nil
}

func (c *Control) call(ctx context.Context, sql string) (core.Status, error) {
	conn, err := c.take(ctx)
	if err != nil {
		return core.Status{}, err
	}
	return c.ask(ctx, conn, sql)
}

func (c *Control) callFresh(ctx context.Context, sql string) (core.Status, error) {
	conn, err := c.dial(ctx)
	if err != nil {
		return core.Status{}, err
	}
	return c.ask(ctx, conn, sql)
}

func (c *Control) ask(ctx context.Context, conn *Conn, sql string) (core.Status, error) {
	runner := NewRunner()
	defer runner.Free()
	reply, err := c.run(ctx, conn, runner, sql)
	if err != nil {
		return core.Status{}, err
	}
	if !reply.isStatus() {
		return core.Status{}, errors.New("target status: the member did not return one row of a status")
	}
	return reply.status, reply.statusErr
}

// run runs one query and keeps the connection if it may be used again.
func (c *Control) run(ctx context.Context, conn *Conn, runner *Runner, sql string) (Reply, error) {
	defer c.give(conn)
	stop := context.AfterFunc(ctx, conn.Abort)
	reply, err := runner.Ask(conn, pgframe.AppendQuery(nil, sql), 1)
	if !stop() {
		conn.Abort() // Else it could end while the next call has it.
	}
	if err != nil {
		return Reply{}, c.failed(ctx, conn, err)
	}
	if reply.Code != "" {
		return Reply{}, &pgconn.PgError{Severity: "ERROR", Code: reply.Code, Message: reply.Message}
	}
	return reply, nil
}

// failed reports the end of a connection. What was cut off by the end of the context is cancelled: it may hold locks
// at the member.
func (c *Control) failed(ctx context.Context, conn *Conn, err error) error {
	c.note(err)
	if ctx.Err() != nil {
		if wasSent(err) {
			go func() { _ = conn.Cancel(context.Background()) }()
		}
		return fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	broken, ok := errors.AsType[*Broken](err)
	if ok && broken.Code != "" && classifyCode(broken.Code) != group.FailureRejected {
		return fmt.Errorf("%w: %w", err, &pgconn.PgError{Severity: "FATAL", Code: broken.Code, Message: "the member ended the connection"})
	}
	return err
}

func (c *Control) note(err error) {
	if c.OnOutOfStep != nil && errors.Is(err, ErrOutOfStep) {
		c.OnOutOfStep(err)
	}
}

// take hands out the kept connection, or a new one.
func (c *Control) take(ctx context.Context) (*Conn, error) {
	c.mu.Lock()
	conn := c.kept
	c.kept = nil
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	return c.dial(ctx)
}

func (c *Control) dial(ctx context.Context) (*Conn, error) {
	conn, err := c.dialer.open(ctx, c.addr, ApplicationControl)
	if err != nil {
		return nil, err
	}
	conn.markerDigits = controlMarkerDigits
	return conn, nil
}

// give keeps the connection in place of the one kept so far: the newest one is
// the least likely to have gone silent.
func (c *Control) give(conn *Conn) {
	c.mu.Lock()
	dispose := conn
	if conn.Reusable() && conn.TxStatus() == pgframe.StatusIdle && !c.closed {
		dispose, c.kept = c.kept, conn
	}
	c.mu.Unlock()
	if dispose != nil {
		// The good-bye may wait for a silent peer.
		go dispose.Close()
	}
}
