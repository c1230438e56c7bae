package proxy

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// drawnPieces are the pieces of drawn texts. A CR LF ends a message, so no text contains it.
var drawnPieces = []string{
	"\n", "\r", "\n\r", "\x00", "\x7f", "\t", "\v", "\xff\xfe", "\xc3", "é", "\u2028", "QUERY q.9 COMMIT", "READY I -", "COMPLETE r0", "\nCOMPLETE r0",
	"-", "a", "SINCE", "\"", "\\r\\n", "",
}

// drawText returns a text of at least one byte.
func drawText(r *rand.Rand, separators ...string) string {
	text := ""
	for n := r.IntN(7); text == "" || n > 0; n-- {
		pieces := append(drawnPieces, separators...)
		text += pieces[r.IntN(len(pieces))]
		if r.IntN(4) == 0 {
			text += string([]byte{byte(r.IntN(256))})
		}
		text = strings.ReplaceAll(text, "\r\n", "\n")
	}
	return text
}

// drawField returns a text without blanks, which can stand before others.
func drawField(r *rand.Rand) string { return strings.ReplaceAll(drawText(r), " ", "_") }

// drawRest returns a text that can stand last.
func drawRest(r *rand.Rand) string { return drawText(r, " ", "  ", " READ ", "x ") }

// queryDrawn runs a statement under a drawn ID until it is served.
func (x *caller) queryDrawn(r *rand.Rand, text string) (id string, a answer) {
	Eventually(func() bool {
		id = nextStatementID() + drawField(r)
		x.send("QUERY " + id + " " + text)
		a = x.answerTo(id)
		return a.isServed()
	}, waitLimit).Should(BeTrue(), "%q: %q", text, a.result)
	return id, a
}

var _ = Describe("any text", func() {
	// Guards against a byte that ends, splits or changes a message on its way to a member or back.
	DescribeTable("goes to the member and back unchanged", func(daemons int, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 0))
		f := newFleet(daemons)
		f.useHomes(f.daemons[0])
		x := f.daemons[daemons-1].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		for range 60 {
			x.checkDrawn(f, r)
		}
	},
		Entry("at a home, seed 1", 1, uint64(1)),
		Entry("at an entry, seed 2", 2, uint64(2)),
		Entry("at an entry, seed 3", 2, uint64(3)),
	)
})

// checkDrawn sends each kind of statement with drawn fields, and checks what the member received and what
// came back.
func (x *caller) checkDrawn(f *fleet, r *rand.Rand) {
	primary := f.group.Primary()
	lastRan := func() string {
		ran := f.ran()
		return ran[len(ran)-1]
	}
	item, data := drawField(r), drawRest(r)
	id, _ := x.queryDrawn(r, "WRITE "+item+" "+data)
	Expect(lastRan()).To(Equal(id + " WRITE " + item + " " + data))
	id, a := x.queryDrawn(r, "READ "+item)
	Expect(lastRan()).To(Equal(id + " READ " + item))
	Expect(a.rows).To(Equal([]string{data}))

	name, value := drawField(r), drawRest(r)
	Expect(x.query("SET " + name + " " + value).result).To(Equal("COMPLETE -"))
	prepared, shape := drawField(r), drawRest(r)
	Expect(x.query("PREPARE " + prepared + " WRITE " + shape).result).To(Equal("COMPLETE -"))
	item, data = drawField(r), drawRest(r)
	id, _ = x.queryDrawn(r, "EXECUTE "+prepared+" "+item+" "+data)
	Expect(primary.Executed(id)).To(Equal("WRITE " + shape))
	Expect(primary.SessionValues()).To(ContainElement(HaveKeyWithValue(name, value)))
	Expect(x.query("DEALLOCATE " + prepared).result).To(Equal("COMPLETE -"))
	Expect(x.query("EXECUTE " + prepared + " k").result).To(Equal("ERROR NOSUCHSTMT " + prepared))
	_, a = x.queryDrawn(r, "READ "+item)
	Expect(a.rows).To(Equal([]string{data}))

	Expect(x.query("BEGIN").state).To(Equal("T"))
	data = drawRest(r)
	a = x.query(fmt.Sprintf("WRITE %s %s", item, data))
	Expect(a.isServed()).To(BeTrue())
	Expect(x.query("COMMIT").isServed()).To(BeTrue())
	_, a = x.queryDrawn(r, "READ "+item)
	Expect(a.rows).To(Equal([]string{data}))
}
