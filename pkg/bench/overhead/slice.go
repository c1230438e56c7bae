package overhead

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"

	"limpetspan/pkg/bench/result"
)

// statementSQL is answered by the stand-in without its engine.
const statementSQL = "SELECT 1"

// slice is what one way gave in one slice.
type slice struct {
	took   time.Duration
	cpu    time.Duration
	times  []time.Duration
	failed int
}

func (s slice) rate() float64 { return float64(len(s.times)) / s.took.Seconds() }

// percentile is in microseconds.
func (s slice) percentile(q float64) float64 {
	return result.Microseconds(result.Percentile(s.times, q))
}

// cpuPerStatement is in microseconds.
func (s slice) cpuPerStatement() float64 {
	return result.Microseconds(s.cpu) / float64(max(len(s.times), 1))
}

// run has all connections send statements one after the other for a while.
func run(ctx context.Context, conns []*pgx.Conn, length time.Duration) (slice, error) {
	var s slice
	var mu sync.Mutex
	var callers sync.WaitGroup
	began, before := time.Now(), processCPU()
	end := began.Add(length)
	for _, conn := range conns {
		callers.Go(func() {
			times, failed := repeat(ctx, conn, end)
			mu.Lock()
			defer mu.Unlock()
			s.times = append(s.times, times...)
			s.failed += failed
		})
	}
	callers.Wait()
	s.took, s.cpu = time.Since(began), processCPU()-before
	if len(s.times) == 0 {
		return s, fmt.Errorf("no statement of %d callers was answered", len(conns))
	}
	return s, ctx.Err()
}

// repeat sends statements until end and returns how long each took. It goes
// below pgx's statement cache: parsing and caching there are no part of what
// is measured.
func repeat(ctx context.Context, conn *pgx.Conn, end time.Time) (times []time.Duration, failed int) {
	times = make([]time.Duration, 0, expectedStatements)
	pg := conn.PgConn()
	for began := time.Now(); began.Before(end) && ctx.Err() == nil; {
		_, err := pg.Exec(ctx, statementSQL).ReadAll()
		now := time.Now()
		if err != nil {
			failed++
			if conn.IsClosed() {
				return times, failed
			}
		} else {
			times = append(times, now.Sub(began))
		}
		began = now
	}
	return times, failed
}

// expectedStatements of one caller in a slice; more are fine.
const expectedStatements = 1 << 15

// processCPU is the processor time of this process so far.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
