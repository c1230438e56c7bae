package takeover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/standin/target"
)

// Check counts broken promises; all must be 0.
type Check struct {
	// Writes were acknowledged, of them Once had a must-not-repeat key.
	Writes int `json:"writes"`
	Once   int `json:"once_writes"`
	// Unsure writes have an unknown outcome.
	Unsure int `json:"unsure"`
	// Lost are keys whose owning side lacks the last acknowledged write, and
	// acknowledged writes that are in no surviving log.
	Lost int `json:"lost"`
	// Doubled are writes that stand more than once in the surviving logs.
	Doubled int `json:"doubled"`
	// Misrouted are writes on a side that did not own the bucket: at the
	// source after the destination had taken one of the same bucket.
	Misrouted int `json:"misrouted"`
	// OnceAsked must-not-repeat keys that had run at the source were asked
	// again at the destination, OnceRepeated of them ran again.
	OnceAsked    int `json:"once_asked_again"`
	OnceRepeated int `json:"once_repeated"`
	// Stale reads missed their session's own write, Missing records were not
	// found by a read or write.
	Stale   int `json:"stale"`
	Missing int `json:"missing"`
	// Broken tells of the first few, for the search of the cause.
	Broken []string `json:"broken,omitempty"`
}

const (
	// maxBroken bounds the list of broken promises.
	maxBroken = 20
	// maxAskedAgain bounds the must-not-repeat keys that are asked again.
	maxAskedAgain = 500
	again         = "again/"
	updateArgs    = 3
)

func (c *Check) tell(count *int, format string, args ...any) {
	*count++
	if len(c.Broken) < maxBroken {
		c.Broken = append(c.Broken, fmt.Sprintf(format, args...))
	}
}

// commit is one commit of a caller's write.
type commit struct {
	key, token string
	at         time.Time
}

// commitsOf returns the callers' writes among records.
func commitsOf(records []*target.Record) []commit {
	var list []commit
	for _, r := range records {
		for _, s := range r.Statements {
			if len(s.Args) != updateArgs || !strings.HasSuffix(s.SQL, setSQL) {
				continue
			}
			name, _ := s.Args[1].(string)
			id, _ := s.Args[2].(string)
			list = append(list, commit{key: id, token: name, at: r.At})
		}
	}
	return list
}

// check compares what the callers were told with both groups.
func (b *bench) check(ctx context.Context) error {
	c := &b.report.Check
	if err := b.askAgain(ctx, c); err != nil {
		return err
	}
	sides := map[core.GroupID][]commit{}
	for _, group := range []core.GroupID{source, destination} {
		primary := b.fleet.primary(group)
		if primary == nil {
			return fmt.Errorf("group %s has no primary", group)
		}
		sides[group] = commitsOf(primary.Log())
	}
	counts := map[string]int{}
	for _, commits := range sides {
		for _, one := range commits {
			counts[one.token]++
		}
	}
	c.misrouted(sides, b.options.Buckets)
	for token, n := range counts {
		if strings.HasPrefix(token, again) {
			c.tell(&c.OnceRepeated, "ran again: %s", token)
		} else if n > 1 {
			c.tell(&c.Doubled, "doubled: %s, %d times", token, n)
		}
	}
	return b.checkKeys(ctx, c, counts)
}

// misrouted looks for writes on the wrong side of a flip. A bucket moves in one
// direction only here, so the source must have nothing of it after the first
// write that the destination took.
func (c *Check) misrouted(sides map[core.GroupID][]commit, buckets int) {
	first := map[int]time.Time{}
	for _, one := range sides[destination] {
		b := config.Bucket(one.key, buckets)
		if at, ok := first[b]; !ok || one.at.Before(at) {
			first[b] = one.at
		}
	}
	for _, one := range sides[source] {
		b := config.Bucket(one.key, buckets)
		if at, ok := first[b]; ok && one.at.After(at) {
			c.tell(&c.Misrouted, "misrouted: %s at %s, the destination had bucket %d from %s",
				one.token, one.at.Format(time.RFC3339Nano), b, at.Format(time.RFC3339Nano))
		}
	}
}

// checkKeys looks for each acknowledged write in the logs, and for the last
// one of each key in the table of the side that owns it.
func (b *bench) checkKeys(ctx context.Context, c *Check, counts map[string]int) error {
	contents, err := b.contents(ctx)
	if err != nil {
		return err
	}
	for _, caller := range b.callers {
		for _, k := range caller.keys {
			c.Writes += len(k.writes)
			c.Once += len(k.once)
			c.Unsure += len(k.unsure)
			for _, token := range k.writes {
				if counts[token] == 0 {
					c.tell(&c.Lost, "lost: %s is in no log", token)
				}
			}
			price, there := contents[k.id]
			if !there || !k.mayBe(price) {
				c.tell(&c.Lost, "lost: %s holds %q (%t), acknowledged was %q", k.id, price, there, k.acknowledged)
			}
		}
	}
	return nil
}

// contents reads each record from the side that owns it.
func (b *bench) contents(ctx context.Context) (map[string]string, error) {
	doc, err := b.fleet.Editor.Load(ctx)
	if err != nil {
		return nil, err
	}
	t := doc.Takeovers[kind]
	all := map[string]string{}
	for _, side := range []struct {
		kind, table string
		flipped     bool
	}{{sourceKind, "lot", false}, {destinationKind, "lots", true}} {
		for bucket := range b.options.Buckets {
			if config.HasBit(t.Flipped, bucket) != side.flipped {
				continue
			}
			if err := b.readBucket(ctx, fmt.Sprintf("/*kind='%s'*/ SELECT id, price FROM %s WHERE bucket = %d", side.kind, side.table, bucket), all); err != nil {
				return nil, err
			}
		}
	}
	return all, nil
}

func (b *bench) readBucket(ctx context.Context, sql string, all map[string]string) error {
	rows, err := b.conn.Query(ctx, sql, pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var id, price string
		if err := rows.Scan(&id, &price); err != nil {
			return err
		}
		all[id] = price
	}
	return rows.Err()
}

// askAgain sends must-not-repeat keys that ran at the source before their
// bucket moved once more, as callers would that missed the answer.
func (b *bench) askAgain(ctx context.Context, c *Check) error {
	for _, caller := range b.callers {
		for _, k := range caller.keys {
			for once, version := range k.once {
				if c.OnceAsked == maxAskedAgain {
					return nil
				}
				if version != oldVersion || !b.moved(k.id) {
					continue
				}
				if err := b.askOnce(ctx, k, once); err != nil {
					return err
				}
				c.OnceAsked++
			}
		}
	}
	return nil
}

func (b *bench) moved(id string) bool {
	return config.HasBit(b.takeover.Flipped, config.Bucket(id, b.options.Buckets))
}

func (b *bench) askOnce(ctx context.Context, k *key, once string) error {
	sql := fmt.Sprintf("/*kind='%s',version='%s',key='%s',once='%s'*/ UPDATE %s %s", kind, newVersion, k.id, once, tables[newVersion], setSQL)
	_, err := b.conn.Exec(ctx, sql, pgx.QueryExecModeExec, marker.Add(1), again+once, k.id)
	if err != nil && outcomeOf(err) != ran {
		return fmt.Errorf("asked again for %s: %w", once, err)
	}
	return nil
}

// errNoRequests: a phase has no sample at all.
var errNoRequests = errors.New("callers had no request answered")

// sorted returns the errors' names for the progress lines.
func sorted(errs map[string]int) []string {
	var list []string
	for name, n := range errs {
		list = append(list, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(list)
	return list
}
