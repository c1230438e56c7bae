package idle

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"

	"limpetspan/pkg/bench/result"
	"limpetspan/pkg/embedded"
)

const (
	startTimeout = 30 * time.Second
	// DefaultConnections is the size of the plan: 10,000 callers a daemon.
	DefaultConnections = 10000
	// spareFiles are the files that the fleet needs itself.
	spareFiles = 500
	// openers connect at a time.
	openers = 16
	// settle is the pause before memory is read: a caller that becomes idle
	// gives its buffers back a moment later.
	settle = 3 * time.Second
)

// Options of a measurement.
type Options struct {
	Connections int
	Command     string
	// Progress takes lines about the steps; nil: none.
	Progress io.Writer
}

// Report is the result of a measurement.
type Report struct {
	result.Head
	// Asked is the number of connections that was asked for; Connections the
	// number that the limit of open files allowed, two for each.
	Asked       int `json:"asked"`
	Connections int `json:"connections"`
	// Bytes per connection of heap and stacks in use, less the caller's end.
	BytesPerConnection float64 `json:"bytes_per_connection"`
	HeapBytes          float64 `json:"heap_bytes_per_connection"`
	StackBytes         float64 `json:"stack_bytes_per_connection"`
	// CallerEndBytes is what was counted out.
	CallerEndBytes float64 `json:"caller_end_bytes"`
	// RSSBytes is the growth of the process's resident memory for each
	// connection, caller's end and room for the garbage collector included.
	RSSBytes   float64 `json:"rss_bytes_per_connection"`
	Goroutines float64 `json:"goroutines_per_connection"`
	// CPUPercentOfCore is the process's processor time while all are idle,
	// probes and stand-in included.
	CPUPercentOfCore float64 `json:"cpu_percent_of_core"`
	How              string  `json:"how"`
}

const how = "heap and stacks in use after a collection, callers startup-complete and idle, without TLS; " +
	"the callers' ends are bare sockets of the same process, measured by themselves and counted out"

// memory is the process's at a moment.
type memory struct {
	heap, stacks, rss float64
	goroutines        float64
}

func (m memory) minus(o memory) memory {
	return memory{m.heap - o.heap, m.stacks - o.stacks, m.rss - o.rss, m.goroutines - o.goroutines}
}

func (m memory) per(n int) memory {
	k := float64(n)
	return memory{m.heap / k, m.stacks / k, m.rss / k, m.goroutines / k}
}

// read returns the memory in use once garbage is gone.
func read() memory {
	runtime.GC()
	debug.FreeOSMemory()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return memory{heap: float64(s.HeapAlloc), stacks: float64(s.StackInuse), rss: rss(), goroutines: float64(runtime.NumGoroutine())}
}

// rss is the resident memory in bytes, 0 where the system tells none.
func rss() float64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize())
}

// Measure carries out a measurement.
func Measure(ctx context.Context, o Options) (*Report, error) {
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	report := &Report{Head: result.Begin(o.Command), Asked: o.Connections, Connections: min(o.Connections, allowed()), How: how}
	if report.Connections <= 0 {
		return nil, errors.New("idle: the limit of open files is too low")
	}
	bare, err := bareSocket(min(report.Connections, bareSockets))
	if err != nil {
		return nil, fmt.Errorf("idle: %w", err)
	}
	report.CallerEndBytes = bare
	fmt.Fprintf(o.Progress, "a bare socket takes %.0f bytes\n", bare)
	if err := report.measure(ctx, o); err != nil {
		return nil, fmt.Errorf("idle: %w", err)
	}
	report.End()
	return report, nil
}

// allowed is the number of connections that the limit of open files allows.
func allowed() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return DefaultConnections
	}
	return (int(min(limit.Cur, 1<<30)) - spareFiles) / 2
}

func (r *Report) measure(ctx context.Context, o Options) error {
	fleet, err := start(ctx)
	if err != nil {
		return err
	}
	defer fleet.Close()
	time.Sleep(settle)
	before := read()
	conns := make([]net.Conn, r.Connections)
	defer closeAll(conns)
	if err := open(ctx, conns, fleet.URL(fleet.Daemons()[0])); err != nil {
		return err
	}
	fmt.Fprintf(o.Progress, "%d callers are connected\n", r.Connections)
	time.Sleep(settle)
	cpu, began := processCPU(), time.Now()
	time.Sleep(settle)
	r.CPUPercentOfCore = 100 * float64(processCPU()-cpu) / float64(time.Since(began))
	grown := read().minus(before).per(r.Connections)
	r.HeapBytes, r.StackBytes, r.RSSBytes, r.Goroutines = grown.heap, grown.stacks, grown.rss, grown.goroutines
	r.BytesPerConnection = grown.heap + grown.stacks - r.CallerEndBytes
	return ctx.Err()
}

// start runs one daemon before one group.
func start(ctx context.Context) (*embedded.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	o := embedded.Kitacycle(0)
	o.Daemons = o.Daemons[:1]
	return embedded.Start(ctx, o)
}

// open connects callers and keeps only their sockets.
func open(ctx context.Context, conns []net.Conn, url string) error {
	var work errgroup.Group
	work.SetLimit(openers)
	for i := range conns {
		work.Go(func() error {
			conn, err := pgconn.Connect(ctx, url)
			if err != nil {
				return fmt.Errorf("caller %d: %w", i, err)
			}
			taken, err := conn.Hijack()
			if err != nil {
				return fmt.Errorf("caller %d: %w", i, err)
			}
			conns[i] = taken.Conn
			return nil
		})
	}
	return work.Wait()
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Plot draws the parts.
func (r *Report) Plot(file string) error {
	return result.Bars(file, "Memory of an idle caller connection", "bytes", []result.Bar{
		{Name: "heap", Value: r.HeapBytes}, {Name: "stacks", Value: r.StackBytes},
		{Name: "less caller's end", Value: r.BytesPerConnection}, {Name: "resident", Value: r.RSSBytes},
	})
}
