// Package capacity writes docs/CAPACITY.md from the measurements in
// docs/measurements, so that no measured number stands in the page by hand.
//
// A measurement is a JSON file whose top level has "command" and "date". The
// page reads these files; one that is missing, or lacks a field, leads to "not
// measured" where it is needed:
//
//	control.json   the report of bench control (see package control) with the
//	               scenarios steady, config and restarts
//	control-storms.json
//	               the same at the plan's size with the scenarios zone and region
//	control-latency.json
//	               the same at the plan's size over a network with latency, with
//	               the scenario config
//	idle.json      bytes_per_connection: memory of an idle caller connection
//	overhead.json  cpu_us_per_statement: processor time of a daemon for one
//	               statement; throughput_ratio
//	home.json      per group for which a daemon is a candidate, at rest:
//	               cpu_percent_of_core_per_group, bytes_per_s_per_group,
//	               messages_per_s_per_group, heap_bytes_per_group
//	failover.json  gap_p50_ms, gap_p99_ms: from the fault to the first write
//	               acknowledged again; gap_max_ms where it is known
//	config.json    p50_ms, p99_ms: from accepted to in force on all daemons;
//	               store_calls_per_change: calls of the whole fleet
//	takeover.json  records_per_s, store_writes_per_s, lost, doubled
//
// Of a field that stands several times in a file, as one for each profile, the
// page takes the largest value; of throughput_ratio and records_per_s the
// smallest.
package capacity
