package reads

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"limpetspan/core"
	"limpetspan/pkg/bench/profile"
	"limpetspan/pkg/embedded"
	"limpetspan/standin/target"
)

const startTimeout = 30 * time.Second

// Statements of the load. A bid carries its session's number of it.
const (
	createBidsSQL   = "CREATE TABLE bids (session text, n int)"
	createClockSQL  = "CREATE TABLE clock (id int PRIMARY KEY, n int)"
	startClockSQL   = "INSERT INTO clock (id, n) VALUES (1, 0)"
	indexBidsSQL    = "CREATE INDEX bids_session ON bids (session, n)"
	bidSQL          = "INSERT INTO bids (session, n) VALUES ($1, $2)"
	tickSQL         = "UPDATE clock SET n = $1 WHERE id = 1"
	ownBidsSQL      = "SELECT coalesce(max(n), 0) FROM bids WHERE session = $1"
	listingSQL      = "SELECT n FROM clock WHERE id = 1"
	setSessionSQL   = "SET limpetspan.session = '%s'"
	declaredOwn     = "/*read='true'*/ "
	declaredListing = "/*read='true',max_staleness='%s'*/ "
)

// fleet is a fleet with its one group.
type fleet struct {
	*embedded.Fleet
	group *target.Group
}

// startFleet starts the profile's fleet; maxReadWait replaces the reducers'
// own if it is not 0.
func startFleet(ctx context.Context, p profile.Profile, maxReadWait time.Duration) (*fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	o := p.Fleet
	o.Groups = append([]embedded.GroupOptions(nil), o.Groups...)
	o.Groups[0].Target.ServiceTime = serviceTime
	o.Tuning.MaxReadWait = maxReadWait
	e, err := embedded.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: e, group: e.Group(o.Groups[0].ID)}
	if err := f.prepare(ctx); err != nil {
		f.Close()
		return nil, fmt.Errorf("tables: %w", err)
	}
	return f, nil
}

func (f *fleet) prepare(ctx context.Context) error {
	conn, err := pgx.Connect(ctx, f.url(0))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, sql := range []string{createBidsSQL, createClockSQL, startClockSQL, indexBidsSQL} {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return fmt.Errorf("%s: %w", sql, err)
		}
	}
	return nil
}

// url is the n-th daemon's, counted round.
func (f *fleet) url(n int) string {
	all := f.Daemons()
	return f.URL(all[n%len(all)])
}

// replicas returns the members that are no primary.
func (f *fleet) replicas() []*target.Member {
	var found []*target.Member
	for _, m := range f.group.Members() {
		if m.Status().Role != core.RolePrimary {
			found = append(found, m)
		}
	}
	return found
}

// setLag puts a scenario into force.
func (f *fleet) setLag(s Scenario) error {
	for i, m := range f.replicas() {
		if err := f.group.Faults().SetLag(m.ID(), s.Lags[i%len(s.Lags)]); err != nil {
			return err
		}
	}
	return nil
}

// replicaStatements counts the reads that replicas have run.
func (f *fleet) replicaStatements() int64 {
	var sum int64
	for _, m := range f.replicas() {
		sum += m.Statements()
	}
	return sum
}
