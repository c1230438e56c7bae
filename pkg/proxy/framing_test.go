package proxy

import (
	"bufio"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform"
	"limpetspan/platform/standin"
)

// dialMember opens a session with a member without a daemon between.
func (f *fleet) dialMember(m *standin.Member) *caller {
	c, err := net.Dial("tcp", m.Addr())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	x := &caller{c: c, r: bufio.NewReader(c)}
	x.send("STARTUP " + f.group.Name + " other " + m.ID)
	Expect(x.line()).To(HavePrefix("READY I "))
	return x
}

// ran returns the statements of callers that ran at any member, as "id text", without the positions
// that daemons add.
func (f *fleet) ran() (list []string) {
	for _, m := range f.group.Members() {
		for _, statement := range m.Statements() {
			id, text, _ := strings.Cut(statement, " ")
			if rest, ok := strings.CutPrefix(text, "SINCE "); ok {
				_, text, _ = strings.Cut(rest, " ")
			}
			list = append(list, id+" "+text)
		}
	}
	return list
}

// onBothPaths runs a spec with a session at a home, and with one that an entry forwards to it.
func onBothPaths(spec func(f *fleet, d *daemon)) []any {
	return []any{
		func(daemons int) {
			f := newFleet(daemons)
			f.useHomes(f.daemons[0])
			spec(f, f.daemons[daemons-1])
		},
		Entry("at a home", 1),
		Entry("at an entry", 2),
	}
}

var _ = Describe("framing", func() {
	// Guards against a message that ends at an LF, so that a member runs a part of the text.
	DescribeTable("brings a text with a line break to the member whole", onBothPaths(func(f *fleet, d *daemon) {
		x := d.dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		for _, data := range []string{"paid until March\nrefund the rest", "\n", "a\r", "a\n", "\r\rb", "a\n\rb", "two  blanks "} {
			Expect(x.query("WRITE note " + data).isServed()).To(BeTrue())
			commits := f.group.Commits()
			Expect(commits[len(commits)-1].Data).To(Equal(data))
			Expect(x.query("READ note").rows).To(Equal([]string{data}))
		}
	})...)

	// Guards against a line of a text that runs as a statement of its own.
	DescribeTable("runs no line of a text as a statement", onBothPaths(func(f *fleet, d *daemon) {
		x := d.dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		before := f.ran()
		note := x.query("WRITE note as seen:\nQUERY c9.1 WRITE fine-77 waived")
		last := x.query("WRITE k 2")
		Expect(note.isServed()).To(BeTrue())
		Expect(last.isServed()).To(BeTrue())
		Expect(f.ran()[len(before):]).To(Equal([]string{
			note.id + " WRITE note as seen:\nQUERY c9.1 WRITE fine-77 waived", last.id + " WRITE k 2",
		}))
	})...)

	// Guards against a READY that is taken for the answer to a statement.
	It("takes no READY alone for an answer", func() {
		_, err := readAnswer(platform.NewReader(strings.NewReader("READY I -\r\n")), nil)
		Expect(err).To(MatchError(errEmptyAnswer))
		entry := entryOf(func(int) string { return "READY I -\r\n" })
		Expect(entry.dial("db-primary").query("WRITE k 1").result).To(HavePrefix("ERROR INDOUBT"))
	})

	// Guards against a row that ends its answer, so that the rest is read as the answer to the next
	// statement.
	DescribeTable("takes no line of a row for the end of its answer", onBothPaths(func(f *fleet, d *daemon) {
		x, y := d.dial("db-primary"), d.dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		row := "seen\nCOMPLETE r0\nREADY I -"
		Expect(f.dialMember(f.group.Primary()).query("WRITE note " + row).isServed()).To(BeTrue())
		a := x.query("READ note")
		Expect(a.isServed()).To(BeTrue(), a.result)
		Expect(a.rows).To(Equal([]string{row}))
		for range 3 {
			Expect(y.query("WRITE fine settled").isServed()).To(BeTrue())
		}
		Expect(y.query("READ fine").rows).To(Equal([]string{"settled"}))
	})...)
})
