package takeover

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	pollInterval = 10 * time.Millisecond
	// thinkTime is a caller's mean pause between two requests; it varies by half.
	thinkTime = 10 * time.Millisecond
	// refusedPause is the pause after "not run".
	refusedPause = 2 * time.Millisecond
	// deadline is how long a caller lets one request try, waitLimit how long it
	// waits for the answer, giveUp how long it repeats what did not run.
	deadline  = 5 * time.Second
	waitLimit = deadline + 3*time.Second
	giveUp    = 30 * time.Second
	// onceShare is one must-not-repeat write in so many writes.
	onceShare = 5
	// notInService is the SQLSTATE of a version that is not in service.
	notInService = "0A000"

	setSQL = "SET changed = $1, price = $2 WHERE id = $3"
)

// tables are the tables of the versions.
var tables = map[string]string{oldVersion: "lot", newVersion: "lots"}

// marker numbers the changes of all callers, as a sequence would.
var marker atomic.Int64

// caller is one session that reads and writes its own keys through all daemons.
type caller struct {
	number int
	fleet  *fleet
	random *rand.Rand
	keys   []*key
	conns  map[int]*pgx.Conn
	phase  *phase
}

// key is one record as its caller knows it.
type key struct {
	id      string
	version string
	// next numbers the writes.
	next int
	// acknowledged is the token of the last acknowledged write; unsure are
	// those of later ones whose outcome is unknown.
	acknowledged string
	unsure       []string
	// writes are all tokens that were acknowledged, once those of them that
	// had a must-not-repeat key, with the version that they ran in.
	writes []string
	once   map[string]string
}

func newCaller(number int, f *fleet, records, callers int) *caller {
	c := &caller{number: number, fleet: f, random: rand.New(rand.NewPCG(1, uint64(number))), conns: map[int]*pgx.Conn{}}
	for n := number; n < records; n += callers {
		c.keys = append(c.keys, &key{id: keyOf(n), version: oldVersion, once: map[string]string{}})
	}
	return c
}

// run works until ctx ends; the request in hand is finished first.
func (c *caller) run(ctx context.Context, p *phase) {
	c.phase = p
	for i := 0; ctx.Err() == nil; i++ {
		k := c.keys[c.random.IntN(len(c.keys))]
		if i%2 == 0 {
			c.write(k, i)
		} else {
			c.read(k, i)
		}
		time.Sleep(thinkTime/2 + time.Duration(c.random.Int64N(int64(thinkTime))))
	}
}

func (c *caller) close() {
	for i := range c.conns {
		c.disconnect(i)
	}
}

// token names a write: the key and its number.
func token(k *key) string { return fmt.Sprintf("%s/%d", k.id, k.next) }

// write sends one write until it is acknowledged or must not be sent again.
func (c *caller) write(k *key, through int) {
	k.next++
	name, once := token(k), ""
	if c.random.IntN(onceShare) == 0 {
		once = name
	}
	began, version := time.Now(), k.version
	for {
		err := c.update(k, through, name, once)
		if err == nil {
			c.acknowledge(k, name, once)
			c.phase.done(time.Since(began), version != k.version)
			return
		}
		outcome := outcomeOf(err)
		c.phase.fail(err)
		if outcome != notRun && once == "" || time.Since(began) > giveUp {
			k.unsure = append(k.unsure, name)
			return
		}
		c.after(k, through, err)
	}
}

func (c *caller) acknowledge(k *key, name, once string) {
	k.acknowledged, k.unsure = name, nil
	k.writes = append(k.writes, name)
	if once != "" {
		k.once[once] = k.version
	}
}

// after does what an error asks for before the request is sent again: another
// version, another connection, a pause.
func (c *caller) after(k *key, through int, err error) {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok && e.Code == notInService {
		k.version = other(k.version)
		return
	}
	if outcomeOf(err) == unknown {
		c.disconnect(through)
	}
	time.Sleep(refusedPause)
}

func other(version string) string {
	if version == oldVersion {
		return newVersion
	}
	return oldVersion
}

func (c *caller) update(k *key, through int, name, once string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	conn, err := c.connect(ctx, through)
	if err != nil {
		return err
	}
	hint := c.hint(k)
	if once != "" {
		hint += fmt.Sprintf(",once='%s'", once)
	}
	sql := fmt.Sprintf("/*%s*/ UPDATE %s %s", hint, tables[k.version], setSQL)
	tag, err := conn.Exec(ctx, sql, pgx.QueryExecModeExec, marker.Add(1), name, k.id)
	if err == nil && tag.RowsAffected() != 1 {
		c.phase.missing.Add(1)
	}
	return err
}

func (c *caller) hint(k *key) string {
	return fmt.Sprintf("kind='%s',version='%s',key='%s',deadline='%s'", kind, k.version, k.id, deadline)
}

// read reads one record, which must show the last write.
func (c *caller) read(k *key, through int) {
	began, version := time.Now(), k.version
	for time.Since(began) < giveUp {
		price, err := c.query(k, through)
		if err == nil {
			c.phase.done(time.Since(began), version != k.version)
			if !k.mayBe(price) {
				c.phase.stale.Add(1)
			}
			return
		}
		c.phase.fail(err)
		c.after(k, through, err)
	}
}

// mayBe reports whether the record may have this content.
func (k *key) mayBe(price string) bool {
	if price == k.acknowledged {
		return true
	}
	for _, u := range k.unsure {
		if price == u {
			return true
		}
	}
	return false
}

func (c *caller) query(k *key, through int) (price string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	conn, err := c.connect(ctx, through)
	if err != nil {
		return "", err
	}
	sql := fmt.Sprintf("/*%s,read='true'*/ SELECT price FROM %s WHERE id = $1", c.hint(k), tables[k.version])
	err = conn.QueryRow(ctx, sql, pgx.QueryExecModeExec, k.id).Scan(&price)
	if errors.Is(err, pgx.ErrNoRows) {
		c.phase.missing.Add(1)
		return "", nil
	}
	return price, err
}

// places is how many connections a caller keeps, to different daemons.
const places = 4

// connect returns the session's connection through a daemon.
func (c *caller) connect(ctx context.Context, through int) (*pgx.Conn, error) {
	through %= places
	if conn := c.conns[through]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	conn, err := c.fleet.connect(ctx, c.number+through)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Exec(ctx, fmt.Sprintf("SET limpetspan.session = 'caller-%d'", c.number)); err != nil {
		return nil, err
	}
	c.conns[through] = conn
	return conn, nil
}

func (c *caller) disconnect(through int) {
	through %= places
	if conn := c.conns[through]; conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
		delete(c.conns, through)
	}
}

// outcome is what an error says of a statement.
type outcome int

const (
	unknown outcome = iota
	notRun
	ran
)

// outcomeOf reads the DETAIL of an error; an error of the connection tells nothing.
func outcomeOf(err error) outcome {
	e, ok := errors.AsType[*pgconn.PgError](err)
	switch {
	case ok && strings.Contains(e.Detail, "outcome=not_run"):
		return notRun
	case ok && strings.Contains(e.Detail, "outcome=ran"):
		return ran
	}
	return unknown
}
