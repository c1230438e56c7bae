package reads

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	requestTimeout = 10 * time.Second
	// failurePause is the pause after a failed request.
	failurePause = 10 * time.Millisecond
)

// answer is what a read showed.
type answer struct {
	session string
	began   time.Time
	// took includes the latency between caller and daemon.
	took time.Duration
	n    int64
	// own: a read of the session's bids, of which acknowledged is the last
	// that was acknowledged before the read began. Otherwise a listing.
	own          bool
	acknowledged int64
}

// caller is one client with its session, which it takes to several daemons.
type caller struct {
	session string
	policy  Policy
	latency time.Duration
	conns   []*pgx.Conn
	turn    int

	bid       int64
	lastWrite time.Time
	answers   []answer
	failed    int
}

// connect opens a connection to each daemon.
func (c *caller) connect(ctx context.Context, f *fleet) error {
	for i := range f.Daemons() {
		conn, err := pgx.Connect(ctx, f.url(i))
		if err != nil {
			return err
		}
		c.conns = append(c.conns, conn)
		if _, err := conn.Exec(ctx, fmt.Sprintf(setSessionSQL, c.session)); err != nil {
			return err
		}
	}
	return nil
}

func (c *caller) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, conn := range c.conns {
		_ = conn.Close(ctx)
	}
}

// next returns the connection to the next daemon.
func (c *caller) next() *pgx.Conn {
	c.turn++
	return c.conns[c.turn%len(c.conns)]
}

// write bids and reads its own bids until ctx ends.
func (c *caller) write(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.placeBid() {
			continue
		}
		for range ownReads {
			c.read(ownBidsSQL, declaredOwn, c.bid, c.session)
			time.Sleep(writerPause)
		}
	}
}

func (c *caller) placeBid() bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	time.Sleep(c.latency)
	_, err := c.next().Exec(ctx, bidSQL, c.session, c.bid+1)
	if err != nil {
		// The number may be in the table; the next bid takes another.
		c.bid++
		c.failed++
		time.Sleep(failurePause)
		return false
	}
	c.bid++
	time.Sleep(c.latency)
	c.lastWrite = time.Now()
	return true
}

// browse reads listings until ctx ends.
func (c *caller) browse(ctx context.Context) {
	comment := fmt.Sprintf(declaredListing, listingAge)
	for ctx.Err() == nil {
		c.read(listingSQL, comment, 0)
		time.Sleep(buyerPause)
	}
}

// read runs a read and notes what it showed. own is the session's last
// acknowledged bid, 0 for a listing.
func (c *caller) read(sql, comment string, own int64, args ...any) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if c.declares() {
		sql = comment + sql
	}
	a := answer{session: c.session, began: time.Now(), own: len(args) > 0, acknowledged: own}
	time.Sleep(c.latency)
	if err := c.next().QueryRow(ctx, sql, args...).Scan(&a.n); err != nil {
		c.failed++
		time.Sleep(failurePause)
		return
	}
	time.Sleep(c.latency)
	a.took = time.Since(a.began)
	c.answers = append(c.answers, a)
}

// declares reports whether the policy declares a read of this caller now.
func (c *caller) declares() bool {
	switch c.policy {
	case Primary:
		return false
	case AfterWrite:
		return time.Since(c.lastWrite) > stickyTime
	}
	return true
}

// tick commits a number every few milliseconds until ctx ends.
func tick(ctx context.Context, f *fleet, from int64) (int64, error) {
	conn, err := pgx.Connect(ctx, f.url(0))
	if err != nil {
		return from, err
	}
	defer conn.Close(context.Background())
	n := from
	for ctx.Err() == nil {
		n++
		if _, err := conn.Exec(context.WithoutCancel(ctx), tickSQL, n); err != nil {
			return n, err
		}
		time.Sleep(tickerPause)
	}
	return n, nil
}
