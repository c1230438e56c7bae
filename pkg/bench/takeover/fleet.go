package takeover

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/embedded"
	"limpetspan/pkg/operator"
	"limpetspan/standin/target"
)

const (
	source      core.GroupID = "rival"
	destination core.GroupID = "ring"

	kind = "lot"
	// sourceKind and destinationKind address the groups' own tables.
	sourceKind      = "rival-tables"
	destinationKind = "ring-tables"

	oldVersion = "old"
	newVersion = "new"

	// startTimeout bounds the start of the fleet, fillRows is how many records
	// one statement of the filling writes.
	startTimeout = 60 * time.Second
	fillRows     = 500
)

// fleet is the fleet under test. The callers see the daemons behind a lock, as
// a balancer would show them.
type fleet struct {
	*embedded.Fleet
	buckets int

	mu      sync.Mutex
	daemons []*embedded.Daemon
}

func startFleet(ctx context.Context, o Options) (*fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	options := embedded.Kitacycle(embedded.KitacycleLatency)
	places, group := options.Daemons, options.Groups[0]
	options.Daemons, options.Groups, options.Log = nil, nil, o.Log
	for i := range o.Daemons {
		options.Daemons = append(options.Daemons, embedded.Place{ID: fmt.Sprint("d", i+1), Zone: places[i%len(places)].Zone})
	}
	for _, id := range []core.GroupID{source, destination} {
		group.ID = id
		group.Members = slices.Clone(group.Members)
		for i := range group.Members {
			group.Members[i].ID = fmt.Sprintf("%s-%d", id, i+1)
		}
		options.Groups = append(options.Groups, group)
	}
	e, err := embedded.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: e, buckets: o.Buckets, daemons: slices.Clone(e.Daemons())}
	if err := f.prepare(ctx, o.Records); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// prepare declares the kinds and makes and fills the tables.
func (f *fleet) prepare(ctx context.Context, records int) error {
	err := f.Change(ctx, "kinds", func(doc *config.Document) {
		doc.Kinds = map[string]*config.Kind{
			kind:            {Group: source, Versions: []string{oldVersion, newVersion}, Durable: true},
			sourceKind:      {Group: source, Durable: true},
			destinationKind: {Group: destination, Durable: true},
		}
	})
	if err != nil {
		return err
	}
	conn, err := f.connect(ctx, 0)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	if err := f.createTables(ctx, conn); err != nil {
		return err
	}
	for from := 0; from < records; from += fillRows {
		if _, err := conn.Exec(ctx, f.fillSQL(from, min(from+fillRows, records)), pgx.QueryExecModeSimpleProtocol); err != nil {
			return fmt.Errorf("fill: %w", err)
		}
	}
	return nil
}

// createTables makes the tables and indexes that docs/TAKEOVER.md asks for.
func (f *fleet) createTables(ctx context.Context, conn *pgx.Conn) error {
	const once = "CREATE TABLE IF NOT EXISTS limpetspan_once(once_key text PRIMARY KEY, " +
		"kind text, record_key text, bucket int, tag text, done_at bigint)"
	for _, side := range []struct{ kind, table string }{{sourceKind, "lot"}, {destinationKind, "lots"}} {
		for _, sql := range []string{
			fmt.Sprintf("CREATE TABLE %s (id text PRIMARY KEY, changed bigint, bucket int, price text)", side.table),
			fmt.Sprintf("CREATE INDEX %s_key ON %s (bucket, id)", side.table, side.table),
			fmt.Sprintf("CREATE INDEX %s_changed ON %s (bucket, changed)", side.table, side.table),
			once,
			"CREATE INDEX once_bucket ON limpetspan_once (kind, bucket)",
			"CREATE INDEX once_done ON limpetspan_once (kind, done_at)",
		} {
			if err := f.awaitExec(ctx, conn, fmt.Sprintf("/*kind='%s'*/ %s", side.kind, sql)); err != nil {
				return fmt.Errorf("%s: %w", sql, err)
			}
		}
	}
	return nil
}

// awaitExec repeats a statement until the daemon knows the kind that it names.
func (f *fleet) awaitExec(ctx context.Context, conn *pgx.Conn, sql string) error {
	for {
		_, err := conn.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
		if err == nil || outcomeOf(err) != notRun {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

func (f *fleet) fillSQL(from, to int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "/*kind='%s'*/ INSERT INTO lot (id, changed, bucket, price) VALUES ", sourceKind)
	for i := from; i < to; i++ {
		if i > from {
			b.WriteString(", ")
		}
		key := keyOf(i)
		fmt.Fprintf(&b, "('%s', %d, %d, '')", key, i+1, config.Bucket(key, f.buckets))
	}
	return b.String()
}

func keyOf(n int) string { return fmt.Sprintf("lot-%07d", n) }

// plan is the take-over as docs/TAKEOVER.md shows it.
func (f *fleet) plan() *config.Takeover {
	const columns = "SELECT id, changed, bucket, price FROM "
	const read, changed = " WHERE bucket = $1 AND id > $2 ORDER BY id LIMIT $3", " WHERE bucket = $1 AND changed > $2 ORDER BY changed LIMIT $3"
	const verify = "SELECT count(*), coalesce(sum(changed), 0) FROM %s WHERE bucket = $1"
	return &config.Takeover{
		State: config.TakeoverRunning, SourceGroup: source, SourceVersion: oldVersion,
		DestinationGroup: destination, DestinationVersion: newVersion, Buckets: f.buckets,
		ReadSQL: columns + "lot" + read, ChangedSQL: columns + "lot" + changed,
		UpsertSQL: "INSERT INTO lots(id, changed, bucket, price) VALUES($1, $2, $3, $4) ON CONFLICT (id) " +
			"DO UPDATE SET changed = excluded.changed, price = excluded.price",
		SourceVerifySQL: fmt.Sprintf(verify, "lot"), DestinationVerifySQL: fmt.Sprintf(verify, "lots"),
		ClearSQL: "DELETE FROM lots WHERE bucket = $1",
	}
}

// connect opens a connection to the n-th daemon, counted round.
func (f *fleet) connect(ctx context.Context, n int) (*pgx.Conn, error) {
	f.mu.Lock()
	url := f.URL(f.daemons[n%len(f.daemons)])
	f.mu.Unlock()
	return pgx.Connect(ctx, url)
}

func (f *fleet) all() []*embedded.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.daemons)
}

// work returns the daemon that works the take-over, and its progress.
func (f *fleet) work() (*embedded.Daemon, operator.TakeoverWork) {
	for _, d := range f.all() {
		for _, w := range d.Status(false).Takeovers {
			return d, w
		}
	}
	return nil, operator.TakeoverWork{}
}

// kill ends a daemon as a crash would.
func (f *fleet) kill(d *embedded.Daemon) error {
	f.mu.Lock()
	f.daemons = slices.DeleteFunc(f.daemons, func(other *embedded.Daemon) bool { return other == d })
	f.mu.Unlock()
	return f.Kill(d)
}

// replace starts a daemon in the place of one that was killed.
func (f *fleet) replace(place embedded.Place) error {
	d, err := f.StartDaemon(place)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
	return nil
}

// primary is the member of the highest term that is primary.
func (f *fleet) primary(group core.GroupID) *target.Member {
	var found *target.Member
	var term core.Term
	for _, m := range f.Group(group).Members() {
		if s := m.Status(); s.Role == core.RolePrimary && s.Term > term {
			found, term = m, s.Term
		}
	}
	return found
}
