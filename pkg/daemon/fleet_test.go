package daemon_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/daemon"
	"limpetspan/pkg/front"
	"limpetspan/pkg/settings"
	"limpetspan/pkg/store"
	standinstore "limpetspan/standin/store"
	standintarget "limpetspan/standin/target"
)

// bound is how long a test waits for what must come.
const bound = 30 * time.Second

// world is a store, a group of three members and the daemons before them.
type world struct {
	url    string
	editor *confstore.Editor
	hosts  *standinstore.HostList
	group  *standintarget.Group
	// seed is the gossip address of the first daemon.
	seed string
	// key keeps datagrams of other fleets out, which may come to a port that
	// one of them had before.
	key string
	// daemons end together, after the test.
	daemons []*running
	stops   []context.CancelFunc
}

// stop ends all daemons in the planned way.
func (w *world) stop() {
	for _, stop := range w.stops {
		stop()
	}
	for _, d := range w.daemons {
		Eventually(d.done).WithTimeout(bound).Should(Receive(BeNil()))
	}
}

// running is a daemon and the end of its Run.
type running struct {
	*daemon.Daemon
	done chan error
}

func newWorld(ctx context.Context) *world {
	GinkgoHelper()
	engine := standinstore.NewEngine(standinstore.SystemClock{})
	server := httptest.NewServer(standinstore.NewServer(engine))
	DeferCleanup(server.Close)
	client, err := store.NewClient(store.Options{Endpoints: []string{server.URL}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)

	group := newGroup(ctx, "m")
	key := filepath.Join(GinkgoT().TempDir(), "key")
	Expect(os.WriteFile(key, []byte(rand.Text()), 0o600)).To(Succeed())
	w := &world{url: server.URL, key: key, hosts: standinstore.NewHostList(engine), group: group, editor: confstore.NewEditor(client, settings.Default().Store.Prefix)}
	DeferCleanup(w.stop)
	w.change(ctx, func(doc *config.Document) {
		doc.DefaultGroup = "parkdb"
		doc.Groups = map[core.GroupID]*config.Group{"parkdb": declaredGroup(group)}
	})
	return w
}

// change edits the declared configuration in the store.
func (w *world) change(ctx context.Context, edit func(*config.Document)) uint64 {
	GinkgoHelper()
	doc, err := w.editor.Update(ctx, nil, confstore.Meta{Author: "test", Reason: "test"}, func(doc *config.Document) (*config.Document, error) {
		next := *doc
		edit(&next)
		return &next, nil
	})
	Expect(err).NotTo(HaveOccurred())
	return uint64(doc.Revision)
}

// create returns a daemon in the zone that does not run yet; change may alter
// its settings and options first.
func (w *world) create(id string, zone string, change ...func(*settings.Settings, *daemon.Options)) *daemon.Daemon {
	GinkgoHelper()
	s := settings.Default()
	s.Daemon = settings.Daemon{ID: id, Zone: zone, Region: "r"}
	s.Callers.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s.Gossip.Listen, s.Operator.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s.Store.Endpoints = []string{w.url}
	s.Targets.User = "limpetspan"
	s.Gossip.Key.File = w.key
	if w.seed != "" {
		s.Gossip.Seeds = []string{w.seed}
	}
	users := front.NewUsers()
	Expect(users.Set("rider", "secret")).To(Succeed())
	options := daemon.Options{Users: users, Stderr: GinkgoWriter, Stdout: GinkgoWriter, Config: confstore.DefaultTiming()}
	options.Config.Grace, options.Config.Recheck = 100*time.Millisecond, 50*time.Millisecond
	options.Tuning.ClaimDelay, options.Tuning.ClaimStep = 200*time.Millisecond, 100*time.Millisecond
	for _, f := range change {
		f(s, &options)
	}
	d, err := daemon.New(s, options)
	Expect(err).NotTo(HaveOccurred())
	return d
}

// start runs a daemon that create returns, until the test ends.
func (w *world) start(id string, zone string, change ...func(*settings.Settings, *daemon.Options)) *running {
	GinkgoHelper()
	d := w.create(id, zone, change...)
	if w.seed == "" {
		w.seed = d.Addrs().Gossip
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Daemon: d, done: make(chan error, 1)}
	go func() { r.done <- d.Run(ctx) }()
	w.stops = append(w.stops, cancel)
	w.daemons = append(w.daemons, r)
	return r
}

// connect opens a caller's connection.
func (r *running) connect(ctx context.Context, session string) *pgx.Conn {
	GinkgoHelper()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://rider:secret@%s/parkdb?sslmode=disable", r.Addrs().Callers))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(context.Background()) })
	_, err = conn.Exec(ctx, "SET limpetspan.session = '"+session+"'")
	Expect(err).NotTo(HaveOccurred())
	return conn
}
