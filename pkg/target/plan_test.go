package target_test

import (
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/target"
)

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		Expect(err).NotTo(HaveOccurred())
	}
	return out
}

var _ = Describe("A plan", func() {
	It("counts the answers and the statements of the messages", func() {
		var p target.Plan
		Expect(p.Parse(encode(&pgproto3.Parse{}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Query{String: "SELECT 1"}))).To(Succeed())
		Expect(p.Groups()).To(Equal(2))
		Expect(p.Executes).To(Equal(2))
		Expect(p.Parse(encode(&pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Sync{}))).To(Succeed())
		Expect(p.Executes).To(BeZero())
		Expect(p.DescribesStatement).To(BeTrue())
	})

	// A caller sends a message whose length says more than there is. Passed on
	// as it is, the next caller's bytes would become its body.
	DescribeTable("refuses what is not a complete exchange", func(messages []byte) {
		var p target.Plan
		Expect(p.Parse(messages)).To(MatchError(target.ErrBadMessages))
	},
		Entry("nothing", nil),
		Entry("cut short", []byte{'Q', 0, 0, 0, 9, 'x'}),
		Entry("a length below its own size", []byte{'Q', 0, 0, 0, 3}),
		Entry("without an end", []byte{'H', 0, 0, 0, 4}),
		Entry("more behind the end", []byte{'S', 0, 0, 0, 4, 'H', 0, 0, 0, 4}),
		Entry("a message of another phase", []byte{'X', 0, 0, 0, 4, 'S', 0, 0, 0, 4}),
	)
})
