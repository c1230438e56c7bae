package takeover_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
)

const (
	callerCount = 4
	// keysPerCaller of the records are written, each by one caller.
	keysPerCaller = 16
	// waitLimit is how long a caller goes on with a statement that did not run.
	waitLimit = 30 * time.Second
	// exchangeBound bounds one statement.
	exchangeBound = 8 * time.Second
	// callerPause is the time between two exchanges of a caller.
	callerPause = 2 * time.Millisecond
	comeBack    = 10 * time.Millisecond
)

// callers write and read records by key, each under one session through all
// daemons in turn.
type callers struct {
	stop    chan struct{}
	stopped sync.Once
	group   sync.WaitGroup
}

// caller is one session. Its keys are written by nobody else.
type caller struct {
	w       *world
	name    string
	random  *rand.Rand
	keys    []string
	numbers map[string]int64
	conns   map[string]*pgx.Conn
	charges int
}

// startCallers lets callers go on until the end of the world.
func (w *world) startCallers() {
	w.callers.stop = make(chan struct{})
	for i := range callerCount {
		c := w.newCaller(i)
		w.callers.group.Go(func() {
			defer GinkgoRecover()
			c.run(w.callers.stop)
		})
	}
}

func (w *world) newCaller(i int) *caller {
	c := &caller{w: w, name: fmt.Sprint("caller-", i), random: rand.New(rand.NewPCG(7, uint64(i))),
		numbers: make(map[string]int64), conns: make(map[string]*pgx.Conn)}
	for k := range keysPerCaller {
		c.keys = append(c.keys, recordKey(i*keysPerCaller+k))
	}
	return c
}

// halt ends the callers and waits for them.
func (c *callers) halt() {
	if c.stop != nil {
		c.stopped.Do(func() { close(c.stop) })
		c.group.Wait()
	}
}

func dial(ctx context.Context, url, session string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	c.DefaultQueryExecMode = pgx.QueryExecModeExec
	c.RuntimeParams["limpetspan.session"] = session
	ctx, cancel := context.WithTimeout(ctx, exchangeBound)
	defer cancel()
	return pgx.ConnectConfig(ctx, c)
}

func (c *caller) run(stop <-chan struct{}) {
	defer c.close()
	pause := time.NewTicker(callerPause)
	defer pause.Stop()
	for {
		select {
		case <-stop:
			return
		case <-pause.C:
		}
		key := c.keys[c.random.IntN(len(c.keys))]
		if c.random.IntN(4) == 0 {
			c.charge(key)
		} else {
			c.write(key)
		}
		c.read(key)
	}
}

func (c *caller) close() {
	for _, conn := range c.conns {
		_ = conn.Close(context.Background())
	}
}

// conn returns the caller's connection to some daemon.
func (c *caller) conn() (*pgx.Conn, string, error) {
	live := c.w.daemons()
	d := live[c.random.IntN(len(live))]
	if conn := c.conns[d.Place.ID]; conn != nil && !conn.IsClosed() {
		return conn, d.Place.ID, nil
	}
	conn, err := dial(c.w.ctx, c.w.fleet.URL(d), c.name)
	if err != nil {
		return nil, d.Place.ID, err
	}
	c.conns[d.Place.ID] = conn
	return conn, d.Place.ID, nil
}

// try runs do once, on some connection.
func (c *caller) try(what string, do func(context.Context, *pgx.Conn) error) error {
	conn, daemon, err := c.conn()
	if err == nil {
		ctx, cancel := context.WithTimeout(c.w.ctx, exchangeBound)
		err = do(ctx, conn)
		cancel()
	} else {
		err = &refusedConnection{err}
	}
	if err != nil {
		c.w.ledger.failed(c.name+" "+what+" through "+daemon, err)
	}
	return err
}

// refusedConnection: nothing was sent.
type refusedConnection struct{ error }

// SafeToRetry tells pgconn so.
func (*refusedConnection) SafeToRetry() bool { return true }

// again calls f until it returns true, until their wait limit is reached.
func again(f func() bool) bool {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(comeBack) {
		if f() {
			return true
		}
	}
	return false
}

// write sets the record's next number, again while it did not run.
func (c *caller) write(key string) {
	c.numbers[key]++
	w := write{key, c.numbers[key]}
	sql := w.sql()
	var told outcome
	var tag pgconn.CommandTag
	again(func() bool {
		err := c.try(fmt.Sprint("write ", w), func(ctx context.Context, conn *pgx.Conn) (err error) {
			tag, err = conn.Exec(ctx, sql)
			return err
		})
		told = outcomeOf(err)
		if err == nil && tag.RowsAffected() != 1 {
			c.w.ledger.violated("write %v changed %d records", w, tag.RowsAffected())
		}
		return told != notRun
	})
	c.w.ledger.wrote(w, told)
}

// read reads the record and checks that it shows the session's own writes.
func (c *caller) read(key string) {
	last := c.w.ledger.lastOf(key)
	sql := fmt.Sprintf("/*kind='%s',key='%s',read='true'*/ SELECT n FROM lot WHERE id = '%s'", kind, key, key)
	var n int64
	var err error
	answered := again(func() bool {
		err = c.try("read "+key, func(ctx context.Context, conn *pgx.Conn) error { return conn.QueryRow(ctx, sql).Scan(&n) })
		return err == nil || errors.Is(err, pgx.ErrNoRows)
	})
	switch {
	case !answered:
		c.w.ledger.violated("%s could not read %s for %v: %s", c.name, key, waitLimit, describe(err))
	case errors.Is(err, pgx.ErrNoRows):
		c.w.ledger.violated("%s read no record %s, its write %d was acknowledged", c.name, key, last)
	case n < last:
		c.w.ledger.violated("%s read %d of %s, its write %d was acknowledged", c.name, n, key, last)
	default:
		c.w.ledger.noteRead()
	}
}

func (l *ledger) lastOf(key string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last[key]
}

// charge runs a must-not-repeat statement until it is known to have run.
func (c *caller) charge(key string) {
	c.charges++
	once := fmt.Sprintf("%s-%d", c.name, c.charges)
	if c.repeat(key, once) {
		c.w.ledger.charged(key, once)
		return
	}
	c.w.ledger.violated("the outcome of charge %s of %s is not known after %v", once, key, waitLimit)
}

// repeat sends a charge until it has run, now or before.
func (c *caller) repeat(key, once string) bool {
	sql := fmt.Sprintf("/*kind='%s',key='%s',once='%s'*/ UPDATE lot SET charges = charges + 1, changed = (SELECT max(changed) FROM lot) + 1 WHERE id = '%s'",
		kind, key, once, key)
	return again(func() bool {
		err := c.try("charge "+once, func(ctx context.Context, conn *pgx.Conn) error {
			_, err := conn.Exec(ctx, sql)
			return err
		})
		refusal, ok := errors.AsType[*pgconn.PgError](err)
		return outcomeOf(err) == acknowledged || ok && refusal.Code == codeUnique
	})
}
