package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The home of a group", func() {
	// A rider checks out at one gate and the next terminal shows the bicycle as
	// still parked, or the check-out is gone or there twice. The home is killed
	// while writes run; another daemon takes over without knowing the positions
	// of the sessions, and one replica is behind the confirmed writes.
	It("is replaced after SIGKILL, and sessions go on to see their own writes", func(ctx SpecContext) {
		f := newFleet()
		f.memberFault("lag", f.replica().ID, `,"fixed_ms":400`)
		l := startLoad(6, f.live)
		l.awaitProgress(5)
		old := home(f.live())
		left := f.others(old)
		old.kill()
		l.awaitProgress(10)
		Expect(home(left)).NotTo(Equal(old))
		l.stop()
		l.verify(ctx, left[0])
	})

	// A bid is shown as recorded and is gone, or a listing shows an animal that
	// is sold. The home is frozen for longer than its lease, another daemon
	// takes over, callers write there, and the frozen one wakes up with requests
	// in its sockets and a belief from before. One replica, which only the frozen
	// home reaches, has not heard of the new one and still answers it.
	It("acknowledges and serves nothing from before when it wakes up after its lease", func(ctx SpecContext) {
		f := newFleet()
		old := home(f.live())
		left := f.others(old)
		l := startLoad(6, f.live)
		l.awaitProgress(3)
		var callers []*frozenCaller
		for i := range 6 {
			callers = append(callers, newFrozenCaller(ctx, old, l.ledger, fmt.Sprint("frozen-", i)))
		}

		f.memberFault("partition", f.replica().ID, `,"members":true,"client_tags":`+zonesOf(left))
		old.signal(syscall.SIGSTOP)
		DeferCleanup(func() { old.signal(syscall.SIGCONT) })
		taken := home(left)
		for i, c := range callers {
			through := left[i%len(left)].mustConnect(ctx, c.session)
			_, err := through.Exec(ctx, insertSQL, c.session+"-meanwhile", c.session, 1)
			Expect(l.told(c.session+"-meanwhile", taken.ID, err)).To(Equal(acknowledged), "%v", err)
			c.send()
		}
		old.signal(syscall.SIGCONT)
		for _, c := range callers {
			Eventually(c.done).Should(BeClosed())
		}
		l.awaitProgress(3)
		l.stop()
		l.verify(ctx, left[0])
	})
})

// zonesOf are the zones of the daemons as a JSON list.
func zonesOf(daemons []*daemon) string {
	GinkgoHelper()
	var zones []string
	for _, d := range daemons {
		zones = append(zones, d.Zone)
	}
	text, err := json.Marshal(zones)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

const insertSQL = "INSERT INTO writes VALUES ($1, $2, $3)"

// frozenCaller has a connection to a daemon from before it was frozen, and
// sends a read of its session and a write while it is.
type frozenCaller struct {
	ctx     context.Context
	session string
	ledger  *ledger
	reader  *pgx.Conn
	writer  *pgx.Conn
	// sent counts the writes to the sockets.
	sent atomic.Int64
	done chan struct{}
}

func newFrozenCaller(ctx context.Context, d *daemon, l *ledger, session string) *frozenCaller {
	GinkgoHelper()
	c := &frozenCaller{ctx: ctx, session: session, ledger: l, done: make(chan struct{})}
	c.reader, c.writer = c.connect(d), c.connect(d)
	return c
}

func (c *frozenCaller) connect(d *daemon) *pgx.Conn {
	GinkgoHelper()
	options, err := pgx.ParseConfig(d.url())
	Expect(err).NotTo(HaveOccurred())
	options.DefaultQueryExecMode = pgx.QueryExecModeExec
	options.RuntimeParams["limpetspan.session"] = c.session
	options.DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return &countedConn{Conn: conn, writes: &c.sent}, err
	}
	conn, err := pgx.ConnectConfig(c.ctx, options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// send returns once both requests are in the sockets.
func (c *frozenCaller) send() {
	GinkgoHelper()
	before := c.sent.Load()
	go c.run()
	Eventually(c.sent.Load).Should(Equal(before + 2))
}

func (c *frozenCaller) run() {
	defer close(c.done)
	written := make(chan struct{})
	go func() {
		defer close(written)
		id := c.session + "-frozen"
		_, err := c.writer.Exec(c.ctx, insertSQL, id, c.session, 2)
		c.ledger.told(id, "the frozen daemon", err)
	}()
	seen := 0
	err := c.reader.QueryRow(c.ctx, "/*read='true'*/ SELECT coalesce(max(seq), 0) FROM writes WHERE session = $1", c.session).Scan(&seen)
	if err == nil && seen < 1 {
		c.ledger.violated("%s read a state from before its write through the daemon that woke up", c.session)
	}
	<-written
}

// countedConn counts the writes.
type countedConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writes.Add(1)
	return n, err
}
