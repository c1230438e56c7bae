package main

// day is what happens on one: planned work and faults, as the bench writes them.
type day struct{ plan, faults []string }

var change = []string{`at = 8.0, kind = "config_change", how = "timeout"`}

// days are all of them by name.
var days = map[string]day{
	"ack": {plan: change, faults: []string{
		`at = 5.0, kind = "after_ack_kill", count = 1`,
		`at = 12.0, kind = "after_ack_kill", count = 3, how = "kill"`,
		`at = 20.0, kind = "after_ack_kill", count = 1, how = "taken"`,
	}},
	"clock": {plan: change, faults: []string{
		`at = 3.0, kind = "clock_step", share = 1.0, x = 5000.0, for_s = 5.0`,
		`at = 12.0, kind = "clock_step", share = 0.5, x = 8000.0, for_s = 5.0, how = "back"`,
		`at = 14.0, kind = "srv_crash", how = "dark primary", for_s = 5.0`,
	}},
	"crashall": {plan: change, faults: []string{
		`at = 4.0, kind = "srv_crash", how = "all", share = 1.0, for_s = 4.0`,
		`at = 18.0, kind = "srv_crash", how = "gone primary"`,
	}},
	"crashdark": {plan: change, faults: []string{
		`at = 4.0, kind = "srv_crash", how = "dark primary", for_s = 7.0`,
		`at = 16.0, kind = "srv_crash", how = "primary", for_s = 5.0`,
	}},
	"crashmany": {plan: change, faults: []string{
		`at = 4.0, kind = "srv_crash", how = "dark", share = 0.5, for_s = 6.0`,
		`at = 18.0, kind = "srv_crash", share = 0.4, for_s = 5.0`,
	}},
	"cutprim": {plan: change, faults: []string{
		`at = 3.0, kind = "primary_cut", share = 0.4, for_s = 6.0, how = ""`,
		`at = 13.0, kind = "primary_cut", share = 0.6, for_s = 5.0, how = "core"`,
		`at = 22.0, kind = "primary_cut", share = 0.5, for_s = 6.0, how = "replicas"`,
	}},
	"cutprim2": {plan: change, faults: []string{
		`at = 3.0, kind = "primary_cut", share = 0.9, for_s = 6.0, how = "replicas core"`,
		`at = 14.0, kind = "primary_cut", share = 1.0, for_s = 5.0, how = "core"`,
		`at = 23.0, kind = "primary_cut", share = 0.2, for_s = 6.0, how = "heals"`,
	}},
	"freeze": {plan: change, faults: []string{
		`at = 4.0, kind = "node_freeze", on = "core", count = 2, for_s = 3.0`,
		`at = 10.0, kind = "srv_crash", how = "dark primary", for_s = 5.0`,
		`at = 10.9, kind = "node_freeze", on = "core", count = 1, for_s = 3.0, how = "leader"`,
		`at = 20.0, kind = "srv_crash", how = "dark primary", for_s = 5.0`,
		`at = 20.7, kind = "node_freeze", on = "core", count = 1, for_s = 2.0, how = "leader"`,
	}},
	"herd": {plan: change, faults: []string{
		`at = 5.0, kind = "herd_kill", share = 1.0, for_s = 1.0`,
		`at = 15.0, kind = "herd_kill", share = 0.7, for_s = 2.0, how = "power"`,
		`at = 24.0, kind = "herd_kill", on = "core", for_s = 1.0, how = "off"`,
	}},
	"hup": {plan: change, faults: []string{
		`at = 3.0, kind = "hup", share = 1.0, gap_s = 1.0`,
		`at = 10.0, kind = "hup", share = 1.0, gap_s = 0.1`,
	}},
	"lag": {plan: change, faults: []string{
		`at = 3.0, kind = "replica_lag", share = 1.0, x = 100.0, for_s = 8.0`,
		`at = 6.0, kind = "srv_crash", how = "dark primary", for_s = 5.0`,
		`at = 18.0, kind = "replica_lag", share = 1.0, x = 60.0, for_s = 8.0`,
		`at = 20.0, kind = "primary_cut", share = 0.5, for_s = 5.0, how = "replicas"`,
	}},
	"nodecut": {plan: change, faults: []string{
		`at = 3.0, kind = "node_cut", share = 0.5, for_s = 6.0, how = "all"`,
		`at = 13.0, kind = "node_cut", share = 0.5, for_s = 6.0, how = "servers"`,
		`at = 22.0, kind = "core_cut", count = 3, for_s = 6.0, how = "split"`,
	}},
	"plat": {plan: change, faults: []string{
		`at = 3.0, kind = "platform_down", for_s = 6.0, how = "silent lapse"`,
		`at = 4.0, kind = "srv_crash", how = "dark primary", for_s = 7.0`,
		`at = 16.0, kind = "platform_lost", x = 0.6, for_s = 6.0, how = "late"`,
		`at = 17.0, kind = "srv_crash", how = "dark primary", for_s = 5.0`,
	}},
	"plat2": {plan: change, faults: []string{
		`at = 3.0, kind = "platform_slow", for_s = 6.0, x = 150.0`,
		`at = 4.0, kind = "srv_crash", how = "primary", for_s = 7.0`,
		`at = 16.0, kind = "platform_down", for_s = 8.0, how = "busy lapse"`,
		`at = 24.0, kind = "platform_compact", for_s = 6.0, x = 8.0, how = "drain"`,
	}},
	"rel": {plan: []string{
		`at = 3.0, kind = "release", how = "primary"`,
		`at = 14.0, kind = "release", share = 1.0, gap_s = 0.5`,
	}},
	"rel2": {plan: []string{
		`at = 3.0, kind = "release", share = 1.0, x = 3, gap_s = 1.0, how = "across"`,
		`at = 16.0, kind = "roll_term", share = 1.0, x = 3.0, gap_s = 0.5`,
	}},
	"reset": {plan: change, faults: []string{
		`at = 3.0, kind = "reset_conns", share = 1.0, x = 1.0`,
		`at = 10.0, kind = "reset_conns", share = 0.5, x = 0.5`,
		`at = 18.0, kind = "reset_conns", share = 0.3, x = 1.0`,
	}},
	"rolls": {plan: []string{
		`at = 2.0, kind = "roll_term", share = 1.0, x = 2.0, gap_s = 2.0, how = "busy"`,
		`at = 18.0, kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0, how = "remove"`,
	}},
	"slow": {plan: change, faults: []string{
		`at = 3.0, kind = "node_slow", share = 0.5, x = 8.0, for_s = 8.0`,
		`at = 5.0, kind = "srv_crash", how = "dark primary", for_s = 5.0`,
		`at = 16.0, kind = "answer_lost", share = 1.0, x = 0.2, for_s = 6.0`,
	}},
	"srvcut": {plan: change, faults: []string{
		`at = 3.0, kind = "srv_cut", share = 0.4, for_s = 6.0, how = "fronts"`,
		`at = 13.0, kind = "srv_cut", share = 0.3, for_s = 5.0, how = "some"`,
		`at = 22.0, kind = "srv_cut", share = 0.3, for_s = 6.0, how = "reborn"`,
	}},
	"srvcut2": {plan: change, faults: []string{
		`at = 3.0, kind = "srv_cut", share = 0.5, for_s = 8.0, how = ""`,
		`at = 15.0, kind = "srv_cut", share = 0.3, for_s = 5.0, how = "one_way fronts"`,
		`at = 22.0, kind = "srv_cut", share = 0.3, for_s = 6.0, how = "some lossy"`,
	}},
	"storm": {plan: []string{
		`at = 3.0, kind = "config_storm", for_s = 10.0, gap_s = 0.1`,
		`at = 15.0, kind = "big_config", count = 800`,
		`at = 16.0, kind = "roll_term", share = 1.0, x = 1.0, gap_s = 0.3, how = "busy"`,
		`at = 17.0, kind = "config_change", how = "timeout"`,
	}},
}
