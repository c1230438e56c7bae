package failover

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	createSQL = "CREATE TABLE exits (id text, caller int)"
	insertSQL = "INSERT INTO exits (id, caller) VALUES ($1, $2)"
	writeArgs = 2
	// writeDeadline is how long a caller waits for one write.
	writeDeadline = 5 * time.Second
	// connectTimeout bounds a new connection to a daemon.
	connectTimeout = 2 * time.Second
	// refusedPause is the pause after "not run".
	refusedPause = 5 * time.Millisecond
	// callerPause is the pause between a caller's writes.
	callerPause = 2 * time.Millisecond
	// slack is how long a caller waits beyond the deadline that it gave.
	slack = 3 * time.Second
)

func isWrite(sql string) bool { return strings.HasSuffix(sql, insertSQL) }

// caller writes rows one after the other.
type caller struct {
	number  int
	once    bool
	latency time.Duration
	fleet   *fleet
	ledger  *ledger

	conn *pgx.Conn
	next int
}

// run writes until ctx ends; the write in hand is finished first.
func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		c.write(ctx, fmt.Sprintf("c%d-%d", c.number, i))
		time.Sleep(callerPause)
	}
	c.disconnect()
}

// write sends one row until it is acknowledged or must not be sent again.
func (c *caller) write(ctx context.Context, id string) {
	c.ledger.begin()
	sent := false
	for attempt := 0; ; attempt++ {
		// A write of which nothing has been sent is dropped at the end.
		if ctx.Err() != nil && (!sent || attempt > lastAttempts) {
			return
		}
		if !c.connect() {
			time.Sleep(refusedPause)
			continue
		}
		sent = true
		time.Sleep(c.latency)
		err := c.insert(id)
		if err == nil {
			c.ledger.acknowledge(acknowledgment{id: id, caller: c.number, at: time.Now(), once: c.once})
			time.Sleep(c.latency)
			return
		}
		if done := c.failed(err); done {
			return
		}
		time.Sleep(refusedPause)
	}
}

// lastAttempts bounds the attempts after the end of the measurement.
const lastAttempts = 5

// failed counts an error and reports whether the write is given up.
func (c *caller) failed(err error) bool {
	outcome := outcomeOf(err)
	c.ledger.refuse(outcome, nameOf(err))
	if c.conn.IsClosed() || outcome == unknown {
		c.disconnect()
	}
	return outcome != notRun && !c.once
}

func (c *caller) insert(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeDeadline+slack)
	defer cancel()
	comment := fmt.Sprintf("/*deadline='%s'*/ ", writeDeadline)
	if c.once {
		comment = fmt.Sprintf("/*once='%s',deadline='%s'*/ ", id, writeDeadline)
	}
	_, err := c.conn.Exec(ctx, comment+insertSQL, pgx.QueryExecModeExec, id, c.number)
	return err
}

// connect connects to the next daemon if there is no connection.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	url := c.fleet.url(c.number + c.next)
	c.next++
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return false
	}
	c.conn = conn
	return true
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// outcome is what an error says of a write.
type outcome int

const (
	unknown outcome = iota
	notRun
	ran
)

// outcomeOf reads the DETAIL of an error; an error of the connection tells nothing.
func outcomeOf(err error) outcome {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return unknown
	}
	switch {
	case strings.Contains(pgErr.Detail, "outcome=not_run"):
		return notRun
	case strings.Contains(pgErr.Detail, "outcome=ran"):
		return ran
	}
	return unknown
}

// nameOf sorts errors for the report: SQLSTATE, outcome and step, or the error
// of the connection without its addresses.
func nameOf(err error) string {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return "connection lost"
	}
	fields := strings.Fields(pgErr.Detail)
	name := pgErr.Code
	for _, f := range fields {
		if strings.HasPrefix(f, "outcome=") || strings.HasPrefix(f, "step=") {
			name += " " + f
		}
	}
	return name
}

// exec runs one statement on a connection of its own.
func exec(ctx context.Context, url, sql string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, sql)
	return err
}
