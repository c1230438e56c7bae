package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"limpetspan/core"
	"limpetspan/platform"
	"limpetspan/platform/standin"
	"limpetspan/tests/knownred"
)

var _ = BeforeEach(func() {
	line, err := knownred.Line(CurrentSpecReport().FullText())
	Expect(err).NotTo(HaveOccurred())
	if line != "" {
		Skip("known to fail: " + line)
	}
})

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

// waitLimit bounds waits for a condition. It is not a requirement on speed.
const waitLimit = 20 * time.Second

// fleet is a store, one group of three members, and daemons, all on loopback addresses.
type fleet struct {
	store   *standin.Store
	group   *standin.Group
	daemons []*daemon
	version int
	// teams are the teams of the next configuration, nil if it has no list of teams.
	teams []map[string]any
	// timeoutMS is the statement timeout of all databases; 0 means 2,000. firstTimeoutMS is that of the
	// first one, if it differs.
	timeoutMS, firstTimeoutMS int
	// adjustSettings changes the settings of daemons before they start.
	adjustSettings func(s *platform.Settings)
	// log is the log of all daemons.
	log *gbytes.Buffer
}

type daemon struct {
	p    *Proxy
	s    platform.Settings
	stop context.CancelFunc
	done chan error
}

func newFleet(daemons int, options ...func(f *fleet)) *fleet {
	f := &fleet{version: 3, log: gbytes.NewBuffer(), adjustSettings: func(*platform.Settings) {}}
	for _, option := range options {
		option(f)
	}
	var err error
	f.store, err = standin.NewStore()
	Expect(err).NotTo(HaveOccurred())
	f.group, err = standin.NewGroup("ledger", 3)
	Expect(err).NotTo(HaveOccurred())
	Expect(f.store.Register(f.group)).To(Succeed())
	f.configure("db-primary", "db-own", "db-stale")
	port := nextPort()
	for i := range daemons {
		f.daemons = append(f.daemons, f.start(processIP(2+i), i, port))
	}
	for _, d := range f.daemons {
		Eventually(d.isStarted, waitLimit).Should(BeTrue())
	}
	DeferCleanup(f.close)
	return f
}

// isStarted reports whether the daemon is ready. If it has ended instead, it stops the poll with the
// daemon's error.
func (d *daemon) isStarted() (bool, error) {
	select {
	case err := <-d.done:
		d.done <- err
		return false, StopTrying("the daemon has ended").Wrap(err)
	default:
		return d.p.ready(), nil
	}
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.kill()
	}
	f.store.Close()
	Expect(f.group.Checks().Violations).To(BeEmpty())
}

// logTail returns the last lines of the daemons' log, for the message of a failed test.
func (f *fleet) logTail() string {
	lines := strings.Split(string(f.log.Contents()), "\n")
	return strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n")
}

// maxLogLines bounds logTail.
const maxLogLines = 60

// configure writes the next version of the configuration, with these databases.
func (f *fleet) configure(databases ...string) {
	f.version += 2
	var routes []map[string]any
	for _, name := range databases {
		r := routeTo(name, "ledger")
		if f.timeoutMS != 0 {
			r["timeout_ms"] = f.timeoutMS
		}
		if f.firstTimeoutMS != 0 && len(routes) == 0 {
			r["timeout_ms"] = f.firstTimeoutMS
		}
		switch name {
		case "db-own":
			r["type"], r["max_staleness_ms"] = "read_your_writes", 2500
		case "db-stale":
			r["type"], r["max_staleness_ms"] = "bounded_stale", 1500
		}
		routes = append(routes, r)
	}
	document := map[string]any{
		"version": f.version, "routes": routes, "limits": map[string]any{"tx_idle_ms": 3000},
		"services": []map[string]any{{"name": "ledger", "max_conns": 22, "sync_replicas": 0}},
	}
	if f.teams != nil {
		document["tenants"] = f.teams
	}
	Expect(f.store.Put("op/config", document)).To(Succeed())
}

// routeTo returns the configuration's route of a database whose reads run on the primary.
func routeTo(database, service string) map[string]any {
	return map[string]any{"name": "r-" + database, "host": database, "prefix": "/", "type": "primary", "timeout_ms": 2000,
		"latency_goal_ms": 500, "priority": 1, "service": service, "attempts": 2}
}

// processIP returns a loopback address that is unique to this process. With a shared address, another
// test could take a free port before the daemon listens on it, and the daemon would end before it is
// ready.
func processIP(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid%256, host)
}

// firstPort is below the system's ephemeral ports.
const firstPort = 20000

var lastPort = firstPort

// nextPort returns a port that this process has not used yet.
func nextPort() int {
	lastPort++
	return lastPort
}

func nextAddr(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(nextPort())) }

// freeAddr returns an address at which nothing listens, so that connections to it are refused.
func freeAddr(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func (f *fleet) start(ip string, n, port int) *daemon {
	s := platform.Settings{
		Daemon: core.DaemonID(fmt.Sprintf("edge-%d", n+1)), Zone: "zone-1", IP: ip, CallerAddr: nextAddr(ip), ReadyAddr: nextAddr(ip),
		GossipPort: port, LastPort: 0, GracePeriod: 2 * time.Second, StoreAddr: f.store.Addr(), PromoteAddr: f.store.Addr(),
	}
	f.adjustSettings(&s)
	return run(s, f.log)
}

// run starts a daemon that logs to w.
func run(s platform.Settings, w io.Writer) *daemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{p: New(s, w), s: s, stop: cancel, done: make(chan error, 1)}
	go func() { d.done <- d.p.Run(ctx) }()
	return d
}

// cutStoreAndWait cuts the daemon off from the store and waits until a call has failed. After that, no
// answer to an earlier call can arrive.
func (d *daemon) cutStoreAndWait() {
	nowhere := freeAddr(d.s.IP)
	d.p.client.SetAddresses(nowhere, nowhere)
	Eventually(func() bool { return d.p.dependencies.isLost("store") }, waitLimit).Should(BeTrue())
}

// kill ends the daemon without a planned stop.
func (d *daemon) kill() {
	d.p.stopping.Store(true)
	d.p.settings.GracePeriod = 0
	d.stop()
	Eventually(d.done, waitLimit).Should(Receive())
	d.done <- nil
}

// caller is a caller's session.
type caller struct {
	c net.Conn
	r *bufio.Reader
}

// lastStatementID numbers the statements of all callers of this process. Specs find a statement on the
// members by its ID, so no two callers may share one.
var lastStatementID atomic.Int64

func (d *daemon) dial(database string) *caller {
	x := d.dialWith(database, "me")
	Expect(x.line()).To(Equal("READY I -"))
	return x
}

// dialWith opens a session with a key. The caller reads the answer.
func (d *daemon) dialWith(database, key string) *caller {
	c, err := net.Dial("tcp", d.s.CallerAddr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	x := &caller{c: c, r: bufio.NewReader(c)}
	x.send("STARTUP " + database + " " + key)
	return x
}

func (x *caller) send(line string) {
	_, err := io.WriteString(x.c, line+"\r\n")
	Expect(err).NotTo(HaveOccurred())
}

// line returns the next message, which only CR LF ends.
func (x *caller) line() string {
	Expect(x.c.SetReadDeadline(time.Now().Add(waitLimit))).To(Succeed())
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := x.r.ReadString('\n')
		if err != nil {
			return "closed"
		}
		line += part
	}
	return strings.TrimSuffix(line, "\r\n")
}

// answer is a complete answer to a statement: the rows, the line after them, and the transaction state
// of the READY line.
type answer struct {
	id     string
	rows   []string
	result string
	state  string
}

func nextStatementID() string { return fmt.Sprintf("q%d", lastStatementID.Add(1)) }

func (x *caller) query(text string) answer {
	id := nextStatementID()
	x.send("QUERY " + id + " " + text)
	return x.answerTo(id)
}

// answerTo reads the answer to the statement.
func (x *caller) answerTo(id string) answer {
	a := answer{id: id}
	for {
		word, rest, _ := strings.Cut(x.line(), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		case "closed":
			a.result = word
			return a
		default:
			a.result = word + " " + rest
		}
	}
}

// isServed reports whether the statement succeeded: the COMPLETE line of its answer names the member
// and this statement.
func (a answer) isServed() bool {
	return strings.HasPrefix(a.result, "COMPLETE r.") && strings.HasSuffix(a.result, "."+a.id)
}

// queryUntilServed repeats a statement, each time under a new ID, until it is served.
func (x *caller) queryUntilServed(text string) answer {
	var a answer
	Eventually(func() bool {
		a = x.query(text)
		return a.isServed()
	}, waitLimit).Should(BeTrue())
	return a
}
