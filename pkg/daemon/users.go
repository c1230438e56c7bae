package daemon

import (
	"context"
	"os"
	"time"

	"limpetspan/pkg/front"
)

// usersPoll is how often the users file is looked at.
const usersPoll = 2 * time.Second

// followUsers reads the users file again when it changes. A file that cannot
// be read leaves the former users in force.
func (d *Daemon) followUsers(ctx context.Context) error {
	path := d.settings.Callers.UsersFile
	last := modified(path)
	ticker := time.NewTicker(usersPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := modified(path)
		if now.Equal(last) {
			continue
		}
		last = now
		users, err := front.LoadUsers(path)
		if err != nil {
			d.log.Warn("users file not read, the former users stay", "step", "daemon.users", "error", err)
			continue
		}
		d.users.Replace(users)
		d.log.Info("users file read", "step", "daemon.users")
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
