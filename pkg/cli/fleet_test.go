package cli_test

import (
	"encoding/json"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/takeover"
	"limpetspan/pkg/cli"
	"limpetspan/pkg/operator"
)

const plan = `[takeover listing]
state = planned
source_group = rival
source_version = old
destination_group = park-1
destination_version = new
buckets = 4
read_sql = SELECT id FROM lot
changed_sql = c
upsert_sql = u
source_verify_sql = s
destination_verify_sql = d
`

var _ = Describe("schema, groups and the fleet", func() {
	var t *terminal
	BeforeEach(func() {
		t = newTerminal()
		t.createGroup("park-1", 5001, "--default")
		t.createGroup("rival", 6001)
		t.ok("schema", "declare", "listing", "--group", "rival", "--version", "old", "--version", "new", "--max-staleness", "2s")
	})

	It("lists what is declared", func() {
		Expect(t.ok("schema", "list")).To(ContainSubstring("old,new"))
		Expect(t.ok("group", "list")).To(ContainSubstring("a=127.0.0.1:6001@kushiro"))
		var entry map[string]any
		Expect(json.Unmarshal([]byte(t.ok("schema", "list", "--json")), &entry)).To(Succeed())
		Expect(entry).To(HaveKeyWithValue("kind", "listing"))
	})

	It("refuses a group that is routed to, exists or is malformed", func() {
		r := t.fails(cli.ExitUsage, "group", "remove", "rival")
		Expect(r.stderr).To(ContainSubstring(`kinds.listing.group: group "rival" does not exist`))
		t.fails(cli.ExitUsage, "group", "create", "rival", "--database", "d", "--member", "a=127.0.0.1:1@z")
		t.fails(cli.ExitUsage, "group", "create", "x", "--database", "d", "--member", "127.0.0.1:1")
		t.fails(cli.ExitUsage, "schema", "declare", "fine", "--version", "1")
	})

	// Story: the last gate terminals still speak the old version. Retiring it
	// would answer them "not run" at a locked gate.
	It("refuses to retire a version with requests, and says which daemon has them", func() {
		busy := newDaemon(operator.Status{ID: "busy", ConfigRevision: 3,
			Versions: []operator.VersionUse{{Kind: "listing", Version: "old", Requests: 7, Window: time.Minute}}})
		r := t.fails(cli.ExitFailed, "schema", "retire", "listing", "old", "--daemon", busy.addr())
		Expect(r.stderr).To(ContainSubstring("daemon busy had 7 requests of it in the last 1m0s"))
		t.fails(cli.ExitUsage, "schema", "retire", "listing", "old")
		// A daemon that does not answer may have requests as well.
		r = t.fails(cli.ExitTimeout, "schema", "retire", "listing", "old", "--wait-unused", "--timeout", "200ms", "--daemon", "127.0.0.1:1")
		Expect(r.stderr).To(ContainSubstring("does not say whether it has requests"))
		busy.set(func(s *operator.Status) { s.Versions = nil })
		Expect(t.ok("schema", "retire", "listing", "old", "--daemon", busy.addr())).To(ContainSubstring("versions old/new -> new"))
		r = t.fails(cli.ExitUsage, "schema", "retire", "listing", "new", "--skip-requests")
		Expect(r.stderr).To(ContainSubstring("is the last of listing"))
	})

	It("runs a take-over through its states and refuses to retire what it needs", func() {
		Expect(t.ok("takeover", "plan", tempFile(plan))).To(ContainSubstring("+ takeover listing: state planned"))
		Expect(t.ok("takeover", "start", "listing")).To(ContainSubstring("state planned -> running"))
		r := t.fails(cli.ExitFailed, "schema", "retire", "listing", "old", "--skip-requests")
		Expect(r.stderr).To(ContainSubstring("take-over of listing from version old to new is running, 0 of 4 buckets moved"))
		t.ok("takeover", "pause", "listing")
		t.fails(cli.ExitUsage, "takeover", "plan", tempFile(plan))
		t.ok("takeover", "resume", "listing")
		worker := newDaemon(operator.Status{ID: "w", Takeovers: []operator.TakeoverWork{{Kind: "listing", Elapsed: 10 * time.Second,
			Progress: takeover.Progress{Buckets: 4, Done: 1, Records: 500, PauseMax: 30 * time.Millisecond},
			LastStep: "copy", LastError: "the source is busy", LastAt: time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)}}})
		Expect(t.ok("takeover", "status", "--daemon", worker.addr())).To(MatchRegexp(`listing +running +0 of 4 +0\.0 % +w +50 +30s +30ms`))
		Expect(t.ok("takeover", "status", "--daemon", worker.addr())).To(HaveSuffix("\nlisting: last error at 2026-03-01T09:00:00Z in copy: the source is busy\n"))
		Expect(t.ok("takeover", "status", "--daemon", worker.addr(), "--json")).To(ContainSubstring(`"last_error":"the source is busy","last_error_step":"copy"`))
		r = t.fails(cli.ExitFailed, "takeover", "verify", "listing", "--daemon", worker.addr())
		Expect(r.stdout).To(Equal("listing: 3 of 4 buckets are equal on both sides\n"))
		t.ok("takeover", "rollback", "listing")
		r = t.fails(cli.ExitUsage, "takeover", "start", "listing")
		Expect(r.stderr).To(ContainSubstring(`cannot go from "rollback" to "running"`))
		t.fails(cli.ExitUsage, "takeover", "start", "charge")
	})

	It("drains a target and a daemon", func() {
		Expect(t.ok("drain", "target", "rival", "b")).To(ContainSubstring("127.0.0.1:6002 in kushiro leaving"))
		t.ok("drain", "target", "rival", "b", "--undo")
		t.fails(cli.ExitUsage, "drain", "target", "rival", "x")
		d := newDaemon(operator.Status{ID: "d", State: "leaving"})
		t.fails(cli.ExitTimeout, "drain", "daemon", d.addr(), "--wait", "--timeout", "300ms")
		Expect(d.drains).To(Equal(1))
		d.server.Close()
		t.fails(cli.ExitFailed, "drain", "daemon", d.addr())
	})

	It("shows the fleet and says who does not answer", func() {
		d := newDaemon(operator.Status{ID: "d", Zone: "kushiro", State: "alive", ConfigRevision: 3, Callers: 5,
			Fleet: []operator.Peer{{ID: "e", OperatorAddr: "127.0.0.1:1", State: "suspect"}}})
		r := t.fails(cli.ExitTimeout, "status", "--daemon", d.addr())
		Expect(r.stdout).To(MatchRegexp(`d +kushiro +- +alive +3 +0 +5`))
		Expect(r.stderr).To(ContainSubstring("1 of 2 daemons did not answer: e"))
		d.set(func(s *operator.Status) { s.Fleet = nil })
		Expect(t.ok("status", "--daemon", d.addr(), "--json")).To(ContainSubstring(`"revisions":{"3":1}`))
	})

	It("documents examples and exit codes", func() {
		for _, line := range []string{"config get", "config check", "config apply", "config history", "config revert",
			"group create", "group list", "group remove", "schema declare", "schema retire", "schema list", "status",
			"drain daemon", "drain target", "takeover plan", "takeover start", "takeover status", "takeover pause",
			"takeover resume", "takeover rollback", "takeover verify"} {
			args := strings.Fields(line)
			help := t.ok(append(args, "--help")...)
			Expect(help).To(And(ContainSubstring("Examples:\n  limpetspan "+line), ContainSubstring("3  conflict")), "%s", line)
		}
	})
})
