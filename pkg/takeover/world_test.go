package takeover_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"modernc.org/sqlite"

	"limpetspan/core"
	"limpetspan/core/config"
	coretakeover "limpetspan/core/takeover"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/store/storetest"
	"limpetspan/pkg/takeover"
	"limpetspan/pkg/target"
	standin "limpetspan/standin/store"
)

const (
	rival   = core.GroupID("rival")
	ring    = core.GroupID("ring")
	kind    = "lot"
	buckets = 4
	prefix  = "/limpetspan/"
	bound   = "30s"
)

// world is two groups with their homes, a store, and what links them.
type world struct {
	ctx       context.Context
	fake      *storetest.Fake
	editor    *confstore.Editor
	inForce   atomic.Pointer[config.Document]
	databases map[core.GroupID]*sql.DB
	gates     map[core.GroupID]*takeover.Gate
	// before is asked before each step of a worker, by a name such as "page" or
	// "seal", and after an order by "seal done"; its error is the step's.
	mu     sync.Mutex
	before func(step string) error
}

var parameter = regexp.MustCompile(`\$(\d+)`)

func newWorld() *world {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	DeferCleanup(cancel)
	w := &world{ctx: ctx, fake: storetest.NewWithClock(standin.NewManualClock(time.Unix(1_000, 0))),
		databases: make(map[core.GroupID]*sql.DB), gates: make(map[core.GroupID]*takeover.Gate)}
	w.editor = confstore.NewEditor(w.fake.Client, prefix)
	w.editor.Retry = time.Millisecond
	for _, g := range []core.GroupID{rival, ring} {
		db, err := sql.Open("sqlite", ":memory:")
		Expect(err).NotTo(HaveOccurred())
		db.SetMaxOpenConns(1)
		DeferCleanup(db.Close)
		w.databases[g] = db
		w.exec(g, "CREATE TABLE lot(id text PRIMARY KEY, changed bigint, bucket int, price text)")
		w.gates[g] = takeover.NewGate(g, w, w.inForce.Load)
	}
	w.inForce.Store(&config.Document{})
	w.update(func(doc *config.Document) (*config.Document, error) {
		next := *doc
		next.Groups = map[core.GroupID]*config.Group{rival: w.group("1"), ring: w.group("2")}
		next.Kinds = map[string]*config.Kind{kind: {Group: rival, Versions: []string{"old", "new"}}}
		next.Takeovers = map[string]*config.Takeover{kind: declared()}
		return &next, nil
	})
	for _, g := range w.gates {
		Expect(g.Load(ctx)).To(Succeed())
	}
	return w
}

func (w *world) group(port string) *config.Group {
	return &config.Group{MaxConnections: 20, Slots: 2, Database: "db",
		Members: []config.Member{{ID: "a", Addr: "127.0.0.1:" + port, Zone: "kushiro"}}}
}

func declared() *config.Takeover {
	const read, changed = "SELECT id, changed, bucket, price FROM lot WHERE bucket = $1 AND id > $2 ORDER BY id LIMIT $3",
		"SELECT id, changed, bucket, price FROM lot WHERE bucket = $1 AND changed > $2 ORDER BY changed LIMIT $3"
	const upsert = "INSERT INTO lot(id, changed, bucket, price) VALUES($1, $2, $3, $4) ON CONFLICT (id) " +
		"DO UPDATE SET changed = excluded.changed, price = excluded.price"
	const verify, clear = "SELECT count(*), coalesce(sum(length(price) + changed), 0) FROM lot WHERE bucket = $1", "DELETE FROM lot WHERE bucket = $1"
	return &config.Takeover{State: config.TakeoverPlanned, SourceGroup: rival, SourceVersion: "old",
		DestinationGroup: ring, DestinationVersion: "new", Buckets: buckets,
		ReadSQL: read, ChangedSQL: changed, UpsertSQL: upsert, SourceVerifySQL: verify, DestinationVerifySQL: verify, ClearSQL: clear,
		Reverse: &config.Reverse{ReadSQL: read, ChangedSQL: changed, UpsertSQL: upsert, ClearSQL: clear}}
}

// update changes the configuration as an operator does, in force everywhere at once.
func (w *world) update(edit takeover.Edit) {
	GinkgoHelper()
	_, err := w.configuration().Update(w.ctx, "test", edit)
	Expect(err).NotTo(HaveOccurred())
}

func (w *world) configuration() *takeover.Editing {
	return &takeover.Editing{Editor: w.editor, Author: "test", InForce: w.inForce.Load, Adopt: w.adopt}
}

func (w *world) adopt(doc *config.Document) {
	for {
		old := w.inForce.Load()
		if old.Revision >= doc.Revision || w.inForce.CompareAndSwap(old, doc) {
			break
		}
	}
	for _, g := range w.gates {
		g.Changed()
	}
}

func (w *world) state(s config.TakeoverState) { GinkgoHelper(); w.update(takeover.SetState(kind, s)) }

func (w *world) current() *config.Takeover { return w.inForce.Load().Takeovers[kind] }

// worker starts a worker; stop ends it and waits.
func (w *world) worker(self core.DaemonID) (worker *takeover.Worker, stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	worker = takeover.NewWorker(takeover.Options{Self: self, Store: w.fake.Client, Prefix: prefix,
		Configuration: w.configuration(), Databases: stepped{w}, Homes: stepped{w},
		Tuning: coretakeover.Tuning{PageSize: 3, Batch: 2, HoldLimit: 5 * time.Second, RetryMin: time.Millisecond, RetryMax: 20 * time.Millisecond,
			Pacer: coretakeover.PacerTuning{MinRate: 100_000, MaxRate: 100_000}},
		Interval: time.Millisecond, Retry: time.Millisecond})
	done := make(chan error, 1)
	go func() { done <- worker.Run(ctx) }()
	stop = func() {
		cancel()
		Eventually(done, bound).Should(Receive())
	}
	DeferCleanup(cancel)
	return worker, stop
}

func (w *world) setBefore(f func(step string) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.before = f
}

func (w *world) step(name string) error {
	w.mu.Lock()
	f := w.before
	w.mu.Unlock()
	if f == nil {
		return nil
	}
	return f(name)
}

// stepped is what a worker reaches, with faults in between.
type stepped struct{ *world }

func (s stepped) Query(ctx context.Context, g core.GroupID, st takeover.Statement) ([]takeover.Row, error) {
	if err := s.step("query " + string(g)); err != nil {
		return nil, err
	}
	return s.world.Query(ctx, g, st)
}

func (s stepped) Apply(ctx context.Context, g core.GroupID, list []takeover.Statement) error {
	name := "apply " + string(g)
	switch {
	case strings.Contains(list[0].SQL, "closed = CASE"):
		name = "close"
	case strings.Contains(list[0].SQL, "ELSE NULL") && len(list) > 1:
		name = "page"
	}
	if err := s.step(name); err != nil {
		return err
	}
	return s.world.Apply(ctx, g, list)
}

func (s stepped) Order(ctx context.Context, o takeover.Order) error {
	if err := s.step(string(o.Operation)); err != nil {
		return err
	}
	if err := s.gates[o.Group].Order(ctx, o); err != nil {
		return err
	}
	return s.step(string(o.Operation) + " done")
}

func (w *world) Query(ctx context.Context, g core.GroupID, st takeover.Statement) ([]takeover.Row, error) {
	if st.SQL == target.PositionSQL {
		return []takeover.Row{{{Text: "2"}, {Text: "7"}}}, nil
	}
	if strings.Contains(st.SQL, "changed > $2") && st.Args[1].Text == "" {
		// SQLite would compare the text, PostgreSQL refuses it.
		return nil, &takeover.SQLError{Code: "22P02", Message: "invalid input syntax for type integer"}
	}
	rows, err := w.databases[g].QueryContext(ctx, parameter.ReplaceAllString(st.SQL, "?$1"), arguments(st.Args)...)
	if err != nil {
		return nil, sqlError(err)
	}
	defer rows.Close()
	columns, _ := rows.Columns()
	var list []takeover.Row
	for rows.Next() {
		texts, dest := make([]sql.NullString, len(columns)), make([]any, len(columns))
		for i := range texts {
			dest[i] = &texts[i]
		}
		if err := rows.Scan(dest...); err != nil {
			return nil, err
		}
		row := make(takeover.Row, len(columns))
		for i, t := range texts {
			row[i] = takeover.Value{Text: t.String, Null: !t.Valid}
		}
		list = append(list, row)
	}
	return list, sqlError(rows.Err())
}

func (w *world) Apply(ctx context.Context, g core.GroupID, list []takeover.Statement) error {
	tx, err := w.databases[g].BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	defer func() { _ = tx.Rollback() }()
	for _, st := range list {
		if _, err := tx.ExecContext(ctx, parameter.ReplaceAllString(st.SQL, "?$1"), arguments(st.Args)...); err != nil {
			return sqlError(err)
		}
	}
	return tx.Commit()
}

func arguments(values []takeover.Value) []any {
	list := make([]any, len(values))
	for i, v := range values {
		if !v.Null {
			list[i] = v.Text
		}
	}
	return list
}

// sqlError gives the engine's errors the SQLSTATE a target would.
func sqlError(err error) error {
	var e *sqlite.Error
	switch {
	case !errors.As(err, &e):
		return err
	case strings.Contains(e.Error(), "NOT NULL"):
		return &takeover.SQLError{Code: "23502", Message: e.Error()}
	case strings.Contains(e.Error(), "no such table"):
		return &takeover.SQLError{Code: "42P01", Message: e.Error()}
	}
	return &takeover.SQLError{Code: "42601", Message: e.Error()}
}

func (w *world) exec(g core.GroupID, query string, args ...any) {
	GinkgoHelper()
	_, err := w.databases[g].ExecContext(w.ctx, query, args...)
	Expect(err).NotTo(HaveOccurred())
}

// entry is a caller's daemon with the document it has in force.
type entry struct {
	*world
	caller  core.CallerID
	inForce func() *config.Document
}

func (w *world) entry(n uint64, inForce func() *config.Document) *entry {
	return &entry{world: w, caller: core.CallerID{Entry: "entry", Number: n}, inForce: inForce}
}

var clock atomic.Int64

// put writes a record through the owner's home, once; the caller tries again
// after "not run".
func (e *entry) put(key, price string) error {
	return e.run(key, true, func(g core.GroupID) error {
		_, err := e.databases[g].ExecContext(e.ctx, "INSERT INTO lot(id, changed, bucket, price) VALUES(?, ?, ?, ?) "+
			"ON CONFLICT (id) DO UPDATE SET changed = excluded.changed, price = excluded.price",
			key, clock.Add(1), config.Bucket(key, buckets), price)
		return err
	})
}

func (e *entry) get(key string) (price string, err error) {
	err = e.run(key, false, func(g core.GroupID) error {
		return e.databases[g].QueryRowContext(e.ctx, "SELECT price FROM lot WHERE id = ?", key).Scan(&price)
	})
	return price, err
}

func (e *entry) run(key string, write bool, statement func(core.GroupID) error) error {
	route, err := e.inForce().Route(kind, "", key, write)
	if err != nil {
		return takeover.RouteError(err, "entry.route")
	}
	pass, err := e.gates[route.Group].Enter(e.ctx, takeover.Request{Caller: e.caller, Kind: kind, Key: key, Write: write})
	if err != nil {
		return err
	}
	defer pass.Leave('I')
	return statement(route.Group)
}

// again repeats what did not run.
func again(f func() error) error {
	for {
		err := f()
		if !errs.Is(err, errs.NotOwner) && !errs.Is(err, errs.Held) && !errs.Is(err, errs.Unavailable) {
			return err
		}
	}
}

// keyIn returns the nth key of a bucket.
func keyIn(bucket, n int) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("lot-%d", i)
		if config.Bucket(key, buckets) != bucket {
			continue
		}
		if n--; n < 0 {
			return key
		}
	}
}
