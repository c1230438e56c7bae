package takeover

import (
	"context"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/takeover"
)

// page is what copying one page found.
type page struct {
	rows            int
	lastKey, marker string
}

// prepare makes a bucket of the destination ready for this claim's writes.
func (r *run) prepare(ctx context.Context, bucket int, clear bool) error {
	list := []Statement{r.checkToken(bucket)}
	if clear && r.dir.clear != "" {
		list = append(list, statement(r.dir.clear, number(bucket)))
	}
	return r.write(ctx, bucket, list)
}

func (r *run) checkToken(bucket int) Statement {
	return statement(checkTokenSQL, text(r.dir.kind), number(bucket), number(r.token))
}

// write applies copies to the destination.
func (r *run) write(ctx context.Context, bucket int, list []Statement) error {
	err := r.Databases.Apply(ctx, r.dir.destination, list)
	if isSQLState(err, codeNotNull) {
		return r.refused(ctx, bucket, err)
	}
	return err
}

// refused tells a refused token from a NOT NULL column of the operator's own
// table. The token is refused when another claim has written to the bucket, or
// has closed it after this one looked for closings; a new claim clears it up.
func (r *run) refused(ctx context.Context, bucket int, err error) error {
	rows, readErr := r.query(ctx, r.dir.destination, readTokenSQL, 2, text(r.dir.kind), number(bucket))
	if readErr != nil {
		return readErr
	}
	if len(rows) > 0 && (rows[0][0].integer() > int64(r.token) || rows[0][1].integer() != 0) {
		return ErrClaimLost
	}
	return err
}

// copyPage copies the records of a bucket that follow a key.
func (r *run) copyPage(ctx context.Context, bucket int, after string, size int) (page, error) {
	rows, err := r.query(ctx, r.dir.source, r.dir.read, 2, number(bucket), text(after), number(size))
	return r.copyRows(ctx, bucket, rows, err)
}

// catchUpPage copies the records of a bucket that changed after a marker. A
// bucket that had no record has no marker either, and none is made up: the
// database refuses an empty text as an integer, which blocked every empty
// bucket. All that it holds by now is copied instead.
func (r *run) catchUpPage(ctx context.Context, bucket int, marker string, size int) (page, error) {
	if marker == "" {
		return r.copyAll(ctx, bucket, size)
	}
	rows, err := r.query(ctx, r.dir.source, r.dir.changed, 2, number(bucket), text(marker), number(size))
	return r.copyRows(ctx, bucket, rows, err)
}

// copyAll copies all records of a bucket and returns the last page with the
// latest marker of all.
func (r *run) copyAll(ctx context.Context, bucket, size int) (page, error) {
	var all page
	for {
		p, err := r.copyPage(ctx, bucket, all.lastKey, size)
		if err != nil {
			return page{}, err
		}
		p.marker = takeover.LatestMarker(all.marker, p.marker)
		if all = p; p.rows < size {
			return all, nil
		}
	}
}

func (r *run) copyRows(ctx context.Context, bucket int, rows []Row, err error) (page, error) {
	if err != nil || len(rows) == 0 {
		return page{}, err
	}
	p := page{rows: len(rows), lastKey: rows[len(rows)-1][0].Text}
	list := make([]Statement, 0, len(rows)+1)
	list = append(list, r.checkToken(bucket))
	for _, row := range rows {
		key := row[0].Text
		if b := config.Bucket(key, r.dir.buckets); b != bucket {
			return page{}, &BucketError{Kind: r.dir.kind, Key: key, Want: b, Have: bucket}
		}
		p.marker = takeover.LatestMarker(p.marker, row[1].Text)
		list = append(list, Statement{SQL: r.dir.upsert, Args: row})
	}
	return p, r.write(ctx, bucket, list)
}

// catchUp copies all changes of a bucket after a marker.
func (r *run) catchUp(ctx context.Context, bucket int, marker string) error {
	size := r.pageSize
	for {
		p, err := r.catchUpPage(ctx, bucket, marker, size)
		if err != nil || p.rows < size {
			return err
		}
		marker = takeover.LatestMarker(marker, p.marker)
	}
}

// matches reports whether both sides hold the same of a bucket.
func (r *run) matches(ctx context.Context, bucket int) (bool, error) {
	source, err := r.query(ctx, r.dir.source, r.dir.sourceVerify, 2, number(bucket))
	if err != nil {
		return false, err
	}
	copied, err := r.query(ctx, r.dir.destination, r.dir.destinationVerify, 2, number(bucket))
	if err != nil {
		return false, err
	}
	if !sameRows(source, copied) {
		return false, nil
	}
	return r.keysMatch(ctx, bucket)
}

func sameRows(a, b []Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if len(a[i]) != len(b[i]) {
			return false
		}
		for j := range a[i] {
			if a[i][j] != b[i][j] {
				return false
			}
		}
	}
	return true
}

// query runs a reading statement and checks that its rows have enough columns.
func (r *run) query(ctx context.Context, group core.GroupID, sql string, columns int, args ...Value) ([]Row, error) {
	rows, err := r.Databases.Query(ctx, group, statement(sql, args...))
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if len(row) < columns {
			return nil, &ColumnsError{Statement: sql, Want: columns, Have: len(row)}
		}
	}
	return rows, nil
}

func (r *run) count(ctx context.Context, group core.GroupID, bucket int) (int64, error) {
	rows, err := r.query(ctx, group, countKeysSQL, 1, text(r.dir.kind), number(bucket))
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	return rows[0][0].integer(), nil
}
