package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"limpetspan/pkg/embedded"
)

const (
	kind = "checkout"
	// notInService is the SQLSTATE of a version that is not in service.
	notInService = "0A000"
	// askPause is the pause between a caller's statements: the resolution.
	askPause = 2 * time.Millisecond
	// followBound is how long a daemon may take to follow a change.
	followBound = 30 * time.Second
)

// probe is a caller of one daemon.
type probe struct {
	fleet  *embedded.Fleet
	daemon *embedded.Daemon
	// conn is nil after a statement that got no answer.
	conn *pgx.Conn
	// revision is the highest that the daemon was seen at.
	revision uint64
	reverted int
}

func (p *probe) connect(ctx context.Context) error {
	if p.conn != nil && !p.conn.IsClosed() {
		return nil
	}
	conn, err := pgx.Connect(ctx, p.fleet.URL(p.daemon))
	if err != nil {
		return fmt.Errorf("connect to daemon %s: %w", p.daemon.Place.ID, err)
	}
	p.conn = conn
	return nil
}

func (p *probe) close() {
	if p.conn != nil {
		_ = p.conn.Close(context.Background())
	}
}

// serves asks with one version and reports whether that is in service.
func (p *probe) serves(ctx context.Context, version string) (bool, error) {
	p.look(ctx)
	if err := p.connect(ctx); err != nil {
		return false, err
	}
	sql := fmt.Sprintf("/*kind='%s',version='%s',read='true'*/ SELECT 1", kind, version)
	_, err := p.conn.Exec(ctx, sql, pgx.QueryExecModeSimpleProtocol)
	if err == nil {
		return true, nil
	}
	if e, ok := errors.AsType[*pgconn.PgError](err); ok && e.Code == notInService {
		return false, nil
	}
	return false, err
}

// look takes down the daemon's revision.
func (p *probe) look(ctx context.Context) {
	revision, err := p.daemon.AwaitRevision(ctx, 0)
	if err != nil {
		return
	}
	if revision < p.revision {
		p.reverted++
	}
	p.revision = max(p.revision, revision)
}

// await asks with the version that comes into service until it is served, and
// returns when that was known.
func (p *probe) await(ctx context.Context, version string) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, followBound)
	defer cancel()
	for {
		served, err := p.serves(ctx, version)
		if served {
			return time.Now(), nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, errors.Join(ctx.Err(), err)
		case <-time.After(askPause):
		}
	}
}
