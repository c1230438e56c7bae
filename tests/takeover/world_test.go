package takeover_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/embedded"
	"limpetspan/pkg/settings"
	"limpetspan/pkg/store"
	"limpetspan/pkg/takeover"
	"limpetspan/standin/target"
)

const (
	rival, ring         = core.GroupID("rival"), core.GroupID("ring")
	kind                = "lot"
	buckets, records    = 8, 640
	versionOld          = "old"
	versionNew          = "new"
	createLot           = "CREATE TABLE lot (id TEXT PRIMARY KEY, changed BIGINT, bucket INT, n BIGINT, charges BIGINT)"
	recordsPerStatement = 200
)

// world is a fleet of three daemons before two groups, with the records of one
// kind in the first.
type world struct {
	ctx   context.Context
	fleet *embedded.Fleet
	store *store.Client
	steps *stepLog

	mu   sync.Mutex
	live []*embedded.Daemon

	ledger  *ledger
	callers callers
}

// worldOptions vary the fleet of a test.
type worldOptions struct {
	latency    time.Duration
	storeLinks bool
	// lags are how late the destination's second and third member apply.
	lags [2]time.Duration
}

// newWorld starts the fleet, fills the source and declares the take-over; the
// returned function ends it.
func newWorld(ctx context.Context, o worldOptions) *world {
	GinkgoHelper()
	w := &world{ctx: ctx, steps: newStepLog(), ledger: newLedger()}
	zones := []core.Zone{"ring-hall", "weigh-shed", "ring-office"}
	options := embedded.Options{User: "ring", Password: "demo", Database: "ring", Log: w.steps, LogLevel: "debug", StoreLinks: o.storeLinks}
	for i, zone := range zones {
		options.Daemons = append(options.Daemons, embedded.Place{ID: fmt.Sprint("d", i+1), Zone: zone})
	}
	for _, id := range []core.GroupID{rival, ring} {
		g := embedded.GroupOptions{ID: id, Durable: true, Target: target.Options{Slots: 4, MaxConnections: 30, Latency: o.latency, Seed: 1}}
		for i, zone := range zones {
			g.Members = append(g.Members, embedded.Place{ID: string(member(id, i+1)), Zone: zone})
		}
		options.Groups = append(options.Groups, g)
	}
	var err error
	w.fleet, err = embedded.Start(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	w.live = append(w.live, w.fleet.Daemons()...)
	w.store, err = store.NewClient(store.Options{Endpoints: []string{w.fleet.StoreURL}})
	Expect(err).NotTo(HaveOccurred())
	w.declare()
	w.fill()
	for i, lag := range o.lags {
		Expect(w.fleet.Group(ring).Faults().SetLag(member(ring, i+2), target.Lag{Fixed: lag})).To(Succeed())
	}
	return w
}

func (w *world) close() {
	w.callers.halt()
	w.store.Close()
	w.fleet.Close()
}

// declare adds the kind, administrators' kinds that reach each group, and the plan.
func (w *world) declare() {
	GinkgoHelper()
	w.change(func(doc *config.Document) {
		doc.Kinds = map[string]*config.Kind{
			kind:         {Group: rival, Versions: []string{versionOld, versionNew}, Durable: true},
			admin(rival): {Group: rival, Durable: true},
			admin(ring):  {Group: ring, Durable: true},
		}
		doc.Takeovers = map[string]*config.Takeover{kind: plan()}
	})
	revision := w.document().Revision
	for _, d := range w.daemons() {
		Eventually(func() config.Revision { return config.Revision(d.Status(false).ConfigRevision) }).Should(BeNumerically(">=", revision))
	}
}

// member is the id of a group's n-th member, from 1.
func member(id core.GroupID, n int) core.MemberID { return core.MemberID(fmt.Sprint(id, "-m", n)) }

func admin(id core.GroupID) string { return string(id) + "-admin" }

func plan() *config.Takeover {
	const (
		columns = "id, changed, bucket, n, charges"
		read    = "SELECT " + columns + " FROM lot WHERE bucket = $1 AND id > $2 ORDER BY id LIMIT $3"
		changed = "SELECT " + columns + " FROM lot WHERE bucket = $1 AND changed > $2 ORDER BY changed LIMIT $3"
		upsert  = "INSERT INTO lot(" + columns + ") VALUES($1, $2, $3, $4, $5) ON CONFLICT (id) " +
			"DO UPDATE SET changed = excluded.changed, n = excluded.n, charges = excluded.charges"
		verify = "SELECT count(*), coalesce(sum(changed), 0), coalesce(sum(n), 0), coalesce(sum(charges), 0) FROM lot WHERE bucket = $1"
		remove = "DELETE FROM lot WHERE bucket = $1"
	)
	return &config.Takeover{State: config.TakeoverPlanned, SourceGroup: rival, SourceVersion: versionOld,
		DestinationGroup: ring, DestinationVersion: versionNew, Buckets: buckets,
		ReadSQL: read, ChangedSQL: changed, UpsertSQL: upsert, SourceVerifySQL: verify, DestinationVerifySQL: verify, ClearSQL: remove,
		Reverse: &config.Reverse{ReadSQL: read, ChangedSQL: changed, UpsertSQL: upsert, ClearSQL: remove}}
}

func recordKey(i int) string { return fmt.Sprintf("lot-%04d", i) }

// fill makes the tables and the source's records.
func (w *world) fill() {
	GinkgoHelper()
	for _, id := range []core.GroupID{rival, ring} {
		for _, sql := range []string{createLot, "CREATE INDEX lot_key ON lot (bucket, id)",
			"CREATE INDEX lot_marker ON lot (bucket, changed)", "CREATE INDEX lot_changed ON lot (changed)"} {
			w.adminExec(id, sql)
		}
	}
	for from := 0; from < records; from += recordsPerStatement {
		var rows []string
		for i := from; i < min(from+recordsPerStatement, records); i++ {
			rows = append(rows, fmt.Sprintf("('%s', %d, %d, 0, 0)", recordKey(i), i+1, config.Bucket(recordKey(i), buckets)))
		}
		w.adminExec(rival, "INSERT INTO lot (id, changed, bucket, n, charges) VALUES "+strings.Join(rows, ", "))
	}
}

// change edits the configuration as an operator would.
func (w *world) change(edit func(*config.Document)) {
	GinkgoHelper()
	Expect(w.fleet.Change(w.ctx, "test", edit)).To(Succeed())
}

// setState is the operator's command; it returns the refusal, if any.
func (w *world) setState(state config.TakeoverState) error {
	var refused error
	err := w.fleet.Change(w.ctx, "operator", func(doc *config.Document) {
		var next *config.Document
		if next, refused = takeover.SetState(kind, state)(doc); refused == nil {
			*doc = *next
		}
	})
	if refused != nil {
		return refused
	}
	return err
}

func (w *world) document() *config.Document {
	GinkgoHelper()
	var doc *config.Document
	Eventually(func() (err error) {
		doc, err = w.fleet.Editor.Load(w.ctx)
		return err
	}).Should(Succeed())
	return doc
}

func (w *world) state() config.TakeoverState { return w.document().Takeovers[kind].State }

func (w *world) flipped() int { return w.document().Takeovers[kind].FlippedCount() }

func (w *world) awaitState(state config.TakeoverState) {
	GinkgoHelper()
	Eventually(w.state).Should(Equal(state), func() string {
		return fmt.Sprintf("%d of %d buckets moved; the take-over's last failures: %s", w.flipped(), buckets, w.steps)
	})
}

// daemons are those that callers may use.
func (w *world) daemons() []*embedded.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*embedded.Daemon(nil), w.live...)
}

func (w *world) daemon(id string) *embedded.Daemon {
	GinkgoHelper()
	for _, d := range w.daemons() {
		if d.Place.ID == id {
			return d
		}
	}
	Fail("no daemon " + id)
	return nil
}

// kill ends a daemon without a word. Callers are not told either: their
// connections break.
func (w *world) kill(id string) {
	GinkgoHelper()
	w.end(id, w.fleet.Kill)
}

// end has callers use the daemon no more and ends it.
func (w *world) end(id string, how func(*embedded.Daemon) error) {
	GinkgoHelper()
	d := w.daemon(id)
	w.mu.Lock()
	for i, other := range w.live {
		if other == d {
			w.live = append(w.live[:i:i], w.live[i+1:]...)
			break
		}
	}
	w.mu.Unlock()
	_ = how(d)
}

// expireClaim ends the lease of the worker's claim, as its time would.
func (w *world) expireClaim() {
	GinkgoHelper()
	Eventually(func() error {
		held, err := w.store.Get(w.ctx, settings.Default().Store.Prefix+"takeover/"+kind)
		if err != nil || held == nil {
			return err
		}
		return w.store.Revoke(w.ctx, held.Lease)
	}).Should(Succeed())
}

// primary is the member that holds the group's log now.
func (w *world) primary(id core.GroupID) *target.Member {
	var found *target.Member
	for _, m := range w.fleet.Group(id).Members() {
		s := m.Status()
		if s.Role == core.RolePrimary && (found == nil || found.Status().Term < s.Term) {
			found = m
		}
	}
	return found
}

func (w *world) home(id core.GroupID) string {
	for _, d := range w.daemons() {
		for _, h := range d.Status(false).Homes {
			if h.Group == id {
				return d.Place.ID
			}
		}
	}
	return ""
}

func (w *world) adminExec(id core.GroupID, sql string) {
	GinkgoHelper()
	conn, err := dial(w.ctx, w.fleet.URL(w.daemons()[0]), "admin")
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close(w.ctx)
	_, err = conn.Exec(w.ctx, fmt.Sprintf("/*kind='%s'*/ %s", admin(id), sql))
	Expect(err).NotTo(HaveOccurred())
}

// record is a record as a group holds it.
type record struct{ n, charges int64 }

// held reads what a group holds, whatever side owns it.
func (w *world) held(id core.GroupID) map[string]record {
	GinkgoHelper()
	var found map[string]record
	Eventually(func() error {
		found = make(map[string]record)
		conn, err := dial(w.ctx, w.fleet.URL(w.daemons()[0]), "admin")
		if err != nil {
			return err
		}
		defer conn.Close(w.ctx)
		rows, err := conn.Query(w.ctx, fmt.Sprintf("/*kind='%s'*/ SELECT id, n, charges FROM lot", admin(id)))
		if err != nil {
			return err
		}
		var key string
		var r record
		_, err = pgx.ForEachRow(rows, []any{&key, &r.n, &r.charges}, func() error { found[key] = r; return nil })
		return err
	}).Should(Succeed())
	return found
}
