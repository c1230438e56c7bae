package cli_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/cli"
	"limpetspan/pkg/operator"
)

var _ = Describe("config", func() {
	var t *terminal
	BeforeEach(func() {
		t = newTerminal()
		t.createGroup("park-1", 5001, "--default")
		t.ok("schema", "declare", "charge", "--group", "park-1", "--version", "1", "--author", "ann")
	})

	It("prints what it reads", func() {
		text := t.ok("config", "get")
		Expect(text).To(ContainSubstring("revision = 2"))
		Expect(t.ok("config", "apply", tempFile(text))).To(ContainSubstring("nothing changes; revision 2"))
		edited := strings.Replace(text, "slots = 3", "slots = 2", 1)
		Expect(t.ok("config", "check", tempFile(edited))).To(ContainSubstring("~ group park-1: slots 3 -> 2"))
		Expect(t.ok("config", "apply", tempFile(edited))).To(HavePrefix("revision 3 (change "))
		Expect(t.ok("config", "get", "--revision", "2")).To(Equal(text))
		Expect(t.ok("config", "history")).To(And(HavePrefix("3  2027-01-15T08:00:00Z"), ContainSubstring("+ kind charge")))
		Expect(t.ok("config", "revert", "2")).To(ContainSubstring("slots 2 -> 3"))
		Expect(t.ok("config", "get")).To(Equal(strings.Replace(text, "revision = 2", "revision = 4", 1)))
	})

	It("names file, section, key or path of what is wrong", func() {
		text := t.ok("config", "get")
		r := t.fails(cli.ExitUsage, "config", "check", tempFile(strings.Replace(text, "slots = 3", "slots = x", 1)))
		Expect(r.stderr).To(ContainSubstring(`fleet.ini: [group park-1] slots: "x" is not a whole number`))
		r = t.fails(cli.ExitUsage, "config", "apply", tempFile(strings.Replace(text, ":5003", ":0", 1)), "--json")
		Expect(r.stderr).To(ContainSubstring("groups.park-1.members[2].addr"))
		Expect(r.stdout).To(ContainSubstring(`"exit_code":2,"problems":[{"path":"groups.park-1.members.c.addr"`))
		t.fails(cli.ExitUsage, "config", "check", "no-such-file.ini")
		t.fails(cli.ExitUsage, "config", "wat")
		t.fails(cli.ExitUsage, "config")
	})

	// Story: Bob takes ten minutes to edit the file that he read at revision 2.
	// Ann meanwhile retunes the group. Applying Bob's file as it stands would
	// silently undo her change on the whole fleet.
	It("refuses a file that was made from an older revision and shows what came since", func() {
		bobs := strings.Replace(t.ok("config", "get"), "[kind charge]", "[kind fine]\ngroup = park-1\n\n[kind charge]", 1)
		t.ok("config", "apply", tempFile(strings.Replace(t.ok("config", "get"), "slots = 3", "slots = 2", 1)))
		r := t.fails(cli.ExitConflict, "config", "apply", tempFile(bobs), "--json")
		Expect(r.stderr).To(ContainSubstring("~ group park-1: slots 3 -> 2"))
		var failure struct {
			Revision   uint64
			Difference struct {
				SetGroups map[string]json.RawMessage `json:"set_groups"`
			}
		}
		Expect(json.Unmarshal([]byte(r.stdout), &failure)).To(Succeed())
		Expect(failure.Revision).To(BeEquivalentTo(3))
		Expect(failure.Difference.SetGroups).To(HaveKey("park-1"))
		// The two touch different entries, so Bob may bring his over.
		t.ok("config", "apply", tempFile(bobs), "--rebase")
		Expect(t.ok("config", "get")).To(And(ContainSubstring("slots = 2"), ContainSubstring("[kind fine]")))
		t.fails(cli.ExitConflict, "config", "apply", tempFile(strings.Replace(bobs, "slots = 3", "slots = 4", 1)), "--rebase")
	})

	// Story: both operators read revision 2, and Ann's change is accepted
	// between Bob's read and his swap.
	It("ends with a conflict when another change comes in between", func() {
		t.store = &swapHook{Fake: t.fake, before: func() {
			other := &terminal{fake: t.fake}
			other.createGroup("park-2", 6001, "--author", "ann")
		}}
		r := t.fails(cli.ExitConflict, "schema", "declare", "charge", "--version", "2")
		Expect(r.stderr).To(And(ContainSubstring("revision 3 by ann"), ContainSubstring("+ group park-2")))
	})

	It("applies a large file in steps", func() {
		var b strings.Builder
		b.WriteString("default_group = g0\n")
		for i := range 250 {
			fmt.Fprintf(&b, "[group g%d]\ndatabase = d\nmax_connections = 20\nslots = 3\n[member g%d a]\naddr = 127.0.0.1:%d\nzone = z\n", i, i, 7000+i)
		}
		out := t.ok("config", "apply", tempFile(b.String()))
		Expect(out).To(And(ContainSubstring("revision 3 "), ContainSubstring("revision 5 ")))
		Expect(strings.Count(t.ok("group", "list"), "\n")).To(Equal(251))
	})

	It("waits for the daemons and says which do not have it", func() {
		a := newDaemon(operator.Status{ID: "a", ConfigRevision: 2})
		t.store = &swapHook{Fake: t.fake, before: func() { a.set(func(s *operator.Status) { s.ConfigRevision = 3 }) }}
		b := newDaemon(operator.Status{ID: "b", ConfigRevision: 2})
		a.set(func(s *operator.Status) {
			s.Fleet = []operator.Peer{{ID: "a", OperatorAddr: a.addr(), State: "alive"}, {ID: "b", OperatorAddr: b.addr(), State: "alive"},
				{ID: "gone", OperatorAddr: "127.0.0.1:1", State: "dead"}}
		})
		// The change is accepted all the same, and that is said.
		r := t.fails(cli.ExitTimeout, "schema", "declare", "charge", "--version", "2", "--wait", "--timeout", "400ms", "--daemon", a.addr())
		Expect(r.stdout).To(ContainSubstring("revision 3 "))
		Expect(r.stderr).To(And(ContainSubstring("in force on 1 of 2 daemons"), ContainSubstring("not known to be in force on: b")))
		b.set(func(s *operator.Status) { s.ConfigRevision = 9 })
		out := t.ok("schema", "declare", "charge", "--version", "2", "--wait", "--json", "--daemon", a.addr())
		Expect(out).To(ContainSubstring(`"changed":false,"daemons":{"have":["a","b"]}`))
		t.fails(cli.ExitUsage, "schema", "declare", "charge", "--version", "3", "--wait")
	})

	// Story: a member is replaced by removing it and adding another at once
	// after. One daemon has heard of neither; with the members it knows it
	// could reach a majority that shares nobody with the new one.
	It("changes members only when every daemon has the revision before", func() {
		d := newDaemon(operator.Status{ID: "d", ConfigRevision: 1})
		text := t.ok("config", "get")
		i := strings.Index(text, "\n[member park-1 c]")
		j := strings.Index(text, "\n[kind")
		smaller := tempFile(text[:i] + text[j:])
		r := t.fails(cli.ExitTimeout, "config", "apply", smaller, "--timeout", "300ms", "--daemon", d.addr())
		Expect(r.stderr).To(ContainSubstring("nothing was changed"))
		Expect(t.ok("config", "get")).To(Equal(text))
		d.set(func(s *operator.Status) { s.ConfigRevision = 2 })
		t.ok("config", "apply", smaller, "--daemon", d.addr())
		Expect(t.run("config", "revert", "2").stderr).To(ContainSubstring("the members of group park-1 change"))
	})

	// Story: the store is restored from last night's backup. An operator has a
	// change accepted before the daemons have written back what is in force;
	// the write-back undoes it and the history does not know of it.
	It("goes on from no store that is behind the daemons", func() {
		d := newDaemon(operator.Status{ID: "d", ConfigRevision: 3})
		r := t.fails(cli.ExitFailed, "schema", "declare", "charge", "--version", "2", "--daemon", d.addr())
		Expect(r.stderr).To(ContainSubstring("the store is behind the revision in force: 2, daemons have 3"))
		Expect(t.ok("config", "get")).To(ContainSubstring("revision = 2"))
	})

	It("reaches a store by its URL", func() {
		server := httptest.NewServer(t.fake.Server)
		DeferCleanup(server.Close)
		client, err := cli.SystemEnv().OpenStore([]string{server.URL})
		Expect(err).NotTo(HaveOccurred())
		t.store = client
		Expect(t.ok("config", "get")).To(ContainSubstring("[group park-1]"))
	})
})
