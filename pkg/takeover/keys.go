package takeover

import (
	"context"

	"limpetspan/core/config"
)

// A must-not-repeat key that ran on the source must not run again on the
// destination, so a bucket's keys are copied with its records: all of them
// before the hold, those that came since within it.

const (
	// keyPage is how many keys one page holds.
	keyPage = 500
	// keyOverlap, in milliseconds, is how far before the latest copied key the
	// search for later ones begins: a key takes its time when its transaction
	// begins and shows when that ends.
	keyOverlap = 60_000
)

// assignKeys corrects the buckets of the keys in the source: those of before
// the take-over was declared have none.
func (r *run) assignKeys(ctx context.Context) error {
	after := ""
	for {
		rows, err := r.query(ctx, r.dir.source, scanKeysSQL, 3, text(r.dir.kind), text(after), number(keyPage))
		if err != nil {
			return err
		}
		if err := r.correctBuckets(ctx, rows); err != nil {
			return err
		}
		if len(rows) < keyPage {
			return nil
		}
		after = rows[len(rows)-1][0].Text
	}
}

// correctBuckets corrects the buckets of keys in the source; the columns of a
// row begin with key, record and bucket.
func (r *run) correctBuckets(ctx context.Context, rows []Row) error {
	var wrong []Statement
	for _, row := range rows {
		if b := r.bucketOf(row); row[2].Null || int(row[2].integer()) != b {
			wrong = append(wrong, statement(assignKeySQL, number(b), row[0]))
		}
	}
	if len(wrong) == 0 {
		return nil
	}
	return r.Databases.Apply(ctx, r.dir.source, wrong)
}

func (r *run) bucketOf(key Row) int { return config.Bucket(key[1].Text, r.dir.buckets) }

// copyKeys copies all keys of a bucket and returns the time of the latest.
func (r *run) copyKeys(ctx context.Context, bucket int) (latest int64, err error) {
	return r.copyKeyPages(ctx, readKeysSQL, number(bucket), func(b int) bool { return b == bucket })
}

// copyLateKeys copies the keys of the batch since a time. It looks at all keys
// of the kind, as one that was under way when the take-over began may have the
// wrong bucket in its row.
func (r *run) copyLateKeys(ctx context.Context, buckets map[int]bool, since int64) error {
	_, err := r.copyKeyPages(ctx, lateKeysSQL, number(since-keyOverlap), func(b int) bool { return buckets[b] })
	return err
}

func (r *run) copyKeyPages(ctx context.Context, sql string, arg Value, wanted func(bucket int) bool) (latest int64, err error) {
	after := ""
	for {
		rows, err := r.query(ctx, r.dir.source, sql, 5, text(r.dir.kind), arg, text(after), number(keyPage))
		if err != nil {
			return 0, err
		}
		if err := r.correctBuckets(ctx, rows); err != nil {
			return 0, err
		}
		var copies []Statement
		for _, row := range rows {
			if bucket := r.bucketOf(row); wanted(bucket) {
				latest = max(latest, row[4].integer())
				copies = append(copies, statement(copyKeySQL, row[0], text(r.dir.kind), row[1], number(bucket), row[3], row[4]))
			}
		}
		if len(copies) > 0 {
			if err := r.Databases.Apply(ctx, r.dir.destination, copies); err != nil {
				return 0, err
			}
		}
		if len(rows) < keyPage {
			return latest, nil
		}
		after = rows[len(rows)-1][0].Text
	}
}

// keysMatch reports whether the destination has all keys of a bucket. It may
// have more: keys of a transaction that the source lost in a failover.
func (r *run) keysMatch(ctx context.Context, bucket int) (bool, error) {
	have, err := r.count(ctx, r.dir.source, bucket)
	if err != nil {
		return false, err
	}
	copied, err := r.count(ctx, r.dir.destination, bucket)
	return copied >= have, err
}
