package proxy

import (
	"time"

	"golang.org/x/sys/unix"

	"limpetspan/core"
)

// now reads CLOCK_BOOTTIME. The clock behind time.Now stands still while the
// host is suspended, so a lease that ran out meanwhile would look valid after
// waking up; this one goes on.
func now() core.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("proxy: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return core.Time(ts.Nano())
}

// until is the duration from now to t, at least min.
func until(t core.Time, min time.Duration) time.Duration { return max(min, t.Sub(now())) }
