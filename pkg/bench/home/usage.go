package home

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// usage is what the process takes: a state for memory, rates for the rest.
type usage struct {
	// cpu is in percent of a core.
	cpu float64
	// bytes per second are those of all daemons together: what they send and
	// receive. The process reads and writes each byte at both of its ends; what
	// the members read and write is taken off. Datagrams are not in them: their
	// number does not depend on the groups.
	bytes float64
	// messages are the write calls per second, those of the members included.
	messages float64
	// heap is in bytes, with stacks.
	heap float64
}

func (u usage) minus(o usage) usage {
	return usage{u.cpu - o.cpu, u.bytes - o.bytes, u.messages - o.messages, u.heap - o.heap}
}

func (u usage) per(n float64) usage {
	return usage{u.cpu / n, u.bytes / n, u.messages / n, u.heap / n}
}

// counters are running sums of the process.
type counters struct {
	at          time.Time
	cpu         time.Duration
	bytes, call float64
}

// observe measures the process for a while; members counts the bytes that the
// members received and sent so far.
func observe(length time.Duration, members func() int64) (usage, error) {
	before, err := readCounters()
	if err != nil {
		return usage{}, err
	}
	membersBefore := members()
	time.Sleep(length)
	after, err := readCounters()
	if err != nil {
		return usage{}, err
	}
	atMembers := float64(members() - membersBefore)
	seconds := after.at.Sub(before.at).Seconds()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return usage{
		cpu:      100 * (after.cpu - before.cpu).Seconds() / seconds,
		bytes:    (after.bytes - before.bytes - atMembers) / seconds,
		messages: (after.call - before.call) / seconds,
		heap:     float64(s.HeapAlloc + s.StackInuse),
	}, nil
}

func readCounters() (counters, error) {
	c := counters{at: time.Now()}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return c, err
	}
	c.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return c, fmt.Errorf("the system does not count this process's reads and writes: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "rchar", "wchar":
			c.bytes += n
		case "syscw":
			// A message is one write; a read that finds nothing is none.
			c.call += n
		}
	}
	return c, nil
}
