package proxy

import (
	"time"

	"golang.org/x/sys/unix"

	"limpetspan/core"
)

// now reads CLOCK_BOOTTIME, which advances while the host is suspended. The monotonic clock of
// time.Now does not: a lease that expired during the suspension would look valid afterwards.
func now() core.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("proxy: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return core.Time(ts.Nano())
}

// until returns the duration from now to t, at least min.
func until(t core.Time, min time.Duration) time.Duration { return max(min, t.Sub(now())) }
