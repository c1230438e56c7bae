package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/config"
)

// poll is the pause between looks at something awaited, awaitTimeout its bound.
const (
	poll         = 5 * time.Millisecond
	awaitTimeout = 15 * time.Second
)

func (d *run) createTable(ctx context.Context) error {
	c, err := d.connect(ctx, "setup")
	if err != nil {
		return err
	}
	defer c.close()
	_, err = c.conns[0].Exec(ctx, "CREATE TABLE checkouts (id int PRIMARY KEY, rider text)")
	return err
}

// during runs the callers while do runs.
func (d *run) during(ctx context.Context, do func(context.Context) error) error {
	var callers []*caller
	defer func() {
		for _, c := range callers {
			c.close()
		}
	}()
	for i := range d.options.Callers {
		c, err := d.connect(ctx, fmt.Sprintf("rider-%d", i+1))
		if err != nil {
			return err
		}
		callers = append(callers, c)
	}
	working, stop := context.WithCancel(ctx)
	defer stop()
	var parts errgroup.Group
	for i, c := range callers {
		parts.Go(func() error { return c.work(working, i) })
	}
	err := do(ctx)
	stop()
	return errors.Join(err, parts.Wait())
}

// roam lets the sessions write through one daemon and read through another.
func (d *run) roam(ctx context.Context) error {
	err := d.during(ctx, func(ctx context.Context) error { return sleep(ctx, d.options.Phase) })
	if err != nil {
		return err
	}
	l := &d.ledger
	d.say("%d sessions wrote %d check-outs and read each back through another daemon", d.options.Callers, len(l.acknowledged))
	d.check("every session reads its own writes through another daemon", l.stale == 0 && l.roamed > 0)
	return nil
}

// failOver crashes the primary while the callers go on.
func (d *run) failOver(ctx context.Context) error {
	id := d.fleet.Options.Groups[0].ID
	group := d.fleet.Group(id)
	return d.during(ctx, func(ctx context.Context) error {
		if err := sleep(ctx, d.options.Phase/2); err != nil {
			return err
		}
		primary, err := d.primary(id)
		if err != nil {
			return err
		}
		d.say("the primary %s crashes", primary)
		crashed := time.Now()
		if err := group.Faults().Crash(primary); err != nil {
			return err
		}
		first, err := d.awaitWrite(ctx, crashed)
		if err != nil {
			return err
		}
		gap := first.Sub(crashed)
		d.result.FailoverGapMS = float64(gap.Microseconds()) / 1000
		promoted, err := d.primary(id)
		if err != nil {
			return err
		}
		d.say("writes are acknowledged again after %v, by %s", gap.Round(time.Millisecond), promoted)
		d.check("another member was promoted", promoted != primary)
		if err := group.Faults().Restart(primary); err != nil {
			return err
		}
		d.say("%s is started again and follows", primary)
		return sleep(ctx, d.options.Phase/2)
	})
}

// primary is the member of the highest term that is primary.
func (d *run) primary(id core.GroupID) (core.MemberID, error) {
	var best core.Status
	var name core.MemberID
	for _, m := range d.fleet.Group(id).Members() {
		if s := m.Status(); s.Role == core.RolePrimary && s.Term > best.Term {
			best, name = s, m.ID()
		}
	}
	if name == "" {
		return "", fmt.Errorf("group %s has no primary", id)
	}
	return name, nil
}

func (d *run) awaitWrite(ctx context.Context, after time.Time) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		if first := d.ledger.firstAfter(after); !first.IsZero() {
			return first, nil
		}
		if err := sleep(ctx, poll); err != nil {
			return time.Time{}, fmt.Errorf("no write was acknowledged after the crash: %w", err)
		}
	}
}

// sqlFeatureNotSupported is the SQLSTATE of a version that is not in service.
const sqlFeatureNotSupported = "0A000"

// configure puts a schema version in service and takes it out again, and waits
// until each daemon acts on it.
func (d *run) configure(ctx context.Context) error {
	c, err := d.connect(ctx, "operator")
	if err != nil {
		return err
	}
	defer c.close()
	group := d.fleet.Options.Groups[0].ID
	for _, versions := range [][]string{{"1", "2"}, {"2"}} {
		began := time.Now()
		err := d.fleet.Change(ctx, "versions in service", func(doc *config.Document) {
			doc.Kinds = map[string]*config.Kind{"checkout": {Group: group, Versions: versions, Durable: true}}
		})
		if err != nil {
			return err
		}
		accepted := time.Now()
		if err := d.awaitVersions(ctx, c, len(versions) == 2); err != nil {
			return err
		}
		took := time.Since(accepted)
		d.result.ConfigurationMS = max(d.result.ConfigurationMS, float64(took.Microseconds())/1000)
		d.say("versions %v of kind checkout in force on every daemon %v after the change was accepted (%v)",
			versions, took.Round(100*time.Microsecond), accepted.Sub(began).Round(100*time.Microsecond))
	}
	d.check("a retired version is refused with \"not run\" on every daemon", true)
	return nil
}

// awaitVersions waits until version 1 is served, or refused, by each daemon.
func (d *run) awaitVersions(ctx context.Context, c *caller, served bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for i, conn := range c.conns {
		for {
			_, err := conn.Exec(ctx, "/*kind='checkout',version='1'*/ SELECT 1")
			e, refused := errors.AsType[*pgconn.PgError](err)
			refused = refused && e.Code == sqlFeatureNotSupported && outcomeOf(err) == "not_run"
			if served && err == nil || !served && refused {
				break
			}
			if err := sleep(ctx, poll); err != nil {
				return fmt.Errorf("daemon %s does not follow the change: %w", d.fleet.Daemons()[i].Place.ID, err)
			}
		}
	}
	return nil
}

// audit holds the ledger against the table.
func (d *run) audit(ctx context.Context) error {
	c, err := d.connect(ctx, "audit")
	if err != nil {
		return err
	}
	defer c.close()
	rows, err := c.conns[0].Query(ctx, "SELECT id FROM checkouts")
	if err != nil {
		return err
	}
	seen := map[int]int{}
	for rows.Next() {
		var id int
		if err := rows.Scan(&id); err != nil {
			return err
		}
		seen[id]++
	}
	if err := rows.Err(); err != nil {
		return err
	}
	l := &d.ledger
	for id := range l.acknowledged {
		if seen[id] == 0 {
			d.result.Lost++
		}
	}
	for _, n := range seen {
		if n > 1 {
			d.result.Doubled++
		}
	}
	d.result.Writes, d.result.Reads, d.result.Roamed = len(l.acknowledged), l.reads, l.roamed
	d.result.Stale, d.result.Refused, d.result.Unknown = l.stale, l.refused, l.unknown
	d.check("every acknowledged write is there", d.result.Lost == 0)
	d.check("no write is there twice", d.result.Doubled == 0)
	d.check("no read missed its session's own write, also over the failover", l.stale == 0)
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
