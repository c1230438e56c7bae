package suite

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
)

// column is a figure of a bench that the table shows. Path leads to it through
// the JSON report.
type column struct {
	bench, title string
	path         []string
	// aim is the bound; higher says that it is a lower one. hasAim is false for
	// figures without one.
	aim            float64
	hasAim, higher bool
}

func atMost(bench, title string, aim float64, path ...string) column {
	return column{bench: bench, title: title, path: path, aim: aim, hasAim: true}
}

func plain(bench, title string, path ...string) column {
	return column{bench: bench, title: title, path: path}
}

// Aims of the figures, in their units.
const (
	aimGapP50Ms       = 1000
	aimGapP99Ms       = 2000
	aimThroughput     = 0.8
	aimP50AddedUs     = 50
	aimBytesPerCaller = 12 << 10
	aimNsPerEvent     = 400
)

var columns = tableColumns()

func tableColumns() []column {
	var all []column
	for _, b := range []string{"failover-kitacycle", "failover-auction"} {
		all = append(all,
			atMost(b, "gap p50, ms", aimGapP50Ms, "gap_p50_ms"), atMost(b, "gap p99, ms", aimGapP99Ms, "gap_p99_ms"),
			plain(b, "gap max, ms", "gap_max_ms"),
			atMost(b, "acknowledged and lost", 0, "lost_acknowledged"),
			atMost(b, "acknowledged by a replaced primary", 0, "acknowledged_by_replaced"),
			atMost(b, "doubled", 0, "doubled"), atMost(b, "runs after which the group was not whole", 0, "not_whole"))
	}
	for _, b := range []string{"reads-auction", "reads-kitacycle"} {
		all = append(all, plain(b, "replica share", "replica_share"), atMost(b, "stale reads", 0, "stale_reads"),
			atMost(b, "own reads that went back", 0, "backwards"),
			plain(b, "p50, ms", "p50_ms"), plain(b, "p99, ms", "p99_ms"))
		for i, policy := range []string{"always primary", "primary after a write", "tracking without wait"} {
			all = append(all, plain(b, "replica share, "+policy, "baselines", strconv.Itoa(i), "replica_share"))
		}
	}
	for i, callers := range []string{"1 caller", "16 callers", "64 callers"} {
		n := strconv.Itoa(i)
		ratio := atMost("overhead", "throughput ratio, "+callers, aimThroughput, "cases", n, "throughput_ratio")
		ratio.higher = true
		all = append(all, ratio,
			plain("overhead", "ratio to a bare relay, "+callers, "cases", n, "ratio_to_relay"),
			atMost("overhead", "p50 added, us, "+callers, aimP50AddedUs, "cases", n, "p50_added_us"),
			plain("overhead", "p99 added, us, "+callers, "cases", n, "p99_added_us"),
			plain("overhead", "processor time of the daemon, us per statement, "+callers, "cases", n, "cpu_us_per_statement"))
	}
	return append(all,
		atMost("idle", "bytes per idle connection", aimBytesPerCaller, "bytes_per_connection"),
		plain("home", "% of a core per group", "cpu_percent_of_core_per_group"), plain("home", "bytes/s per group", "bytes_per_s_per_group"),
		plain("home", "heap bytes per group", "heap_bytes_per_group"),
		atMost("reducer", "ns per event", aimNsPerEvent, "ns_per_event"), plain("reducer", "allocations per event", "allocs_per_event"))
}

// misses reports whether the value is beyond the column's aim.
func (c column) misses(value float64) bool {
	if c.higher {
		return value < c.aim
	}
	return value > c.aim
}

// documents are the JSON reports of a directory by bench.
type documents map[string]any

// load reads the reports of a directory; a missing one is left out.
func load(dir string) (documents, error) {
	found := documents{}
	for _, b := range benches {
		text, err := os.ReadFile(filepath.Join(dir, b.name+".json"))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		var content any
		if err := json.Unmarshal(text, &content); err != nil {
			return nil, fmt.Errorf("%s.json: %w", b.name, err)
		}
		found[b.name] = content
	}
	return found, nil
}

// figure returns a column's value.
func (d documents) figure(c column) (float64, bool) {
	node := d[c.bench]
	for _, step := range c.path {
		switch n := node.(type) {
		case map[string]any:
			node = n[step]
		case []any:
			i, err := strconv.Atoi(step)
			if err != nil || i >= len(n) {
				return 0, false
			}
			node = n[i]
		default:
			return 0, false
		}
	}
	value, ok := node.(float64)
	return value, ok
}
