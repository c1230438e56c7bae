package embedded

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// readyPoll is the pause between looks at a daemon that is not ready yet.
const readyPoll = 50 * time.Millisecond

// WaitReady returns when each daemon has answered a statement of the default
// group, which needs a home that serves.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, d := range f.daemons {
		var last error
		for {
			if last = f.try(ctx, d); last == nil {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("daemon %s is not ready: %w", d.Place.ID, last)
			case <-d.Done:
				return fmt.Errorf("daemon %s ended: %w", d.Place.ID, d.Err)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func (f *Fleet) try(ctx context.Context, d *Daemon) error {
	conn, err := pgx.Connect(ctx, f.URL(d))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	var one int
	return conn.QueryRow(ctx, "SELECT 1").Scan(&one)
}
