package engine_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/standin/target/internal/engine"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

func text(s string) engine.Value { return engine.Value{Kind: engine.Text, Bytes: []byte(s)} }

var _ = Describe("connections", func() {
	It("share a named database and copy it into a private one", func() {
		name := engine.NewName()
		writer, err := engine.Open(name)
		Expect(err).NotTo(HaveOccurred())
		defer writer.Close()
		reader, err := engine.Open(name)
		Expect(err).NotTo(HaveOccurred())
		defer reader.Close()
		Expect(writer.Exec("CREATE TABLE rack (id INTEGER PRIMARY KEY, name TEXT, x BYTEA)")).To(Succeed())
		insert, err := writer.Prepare("INSERT INTO rack VALUES (?1, ?2, ?3)")
		Expect(err).NotTo(HaveOccurred())
		Expect(insert.ReadOnly()).To(BeFalse())
		Expect(insert.Bind([]engine.Value{{Kind: engine.Int, Int: 7}, text("a\x00b"), {Kind: engine.Blob, Bytes: []byte{0, 1}}})).To(Succeed())
		_, err = insert.Step()
		Expect(err).NotTo(HaveOccurred())
		insert.Reset()
		Expect(writer.Changes()).To(BeEquivalentTo(1))

		private, err := engine.Open(engine.Private)
		Expect(err).NotTo(HaveOccurred())
		defer private.Close()
		Expect(private.CopyFrom(writer)).To(Succeed())
		for _, conn := range []*engine.Conn{reader, private} {
			st, err := conn.Prepare("SELECT id, name, x FROM rack")
			Expect(err).NotTo(HaveOccurred())
			Expect(st.ReadOnly()).To(BeTrue())
			Expect(st.Columns()[0]).To(Equal(engine.Column{Name: "id", Decl: "INTEGER"}))
			Expect(st.Step()).To(BeTrue())
			var v engine.Value
			st.Value(1, &v)
			Expect(v).To(Equal(text("a\x00b")))
			st.Value(2, &v)
			Expect(v.Bytes).To(Equal([]byte{0, 1}))
			Expect(st.Step()).To(BeFalse())
			st.Reset()
		}
	})

	It("report extended result codes", func() {
		conn, err := engine.Open(engine.Private)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.Exec("CREATE TABLE rack (id INTEGER PRIMARY KEY)")).To(Succeed())
		Expect(conn.Exec("INSERT INTO rack VALUES (1)")).To(Succeed())
		Expect(conn.Exec("INSERT INTO rack VALUES (1)")).To(MatchError(ContainSubstring("UNIQUE constraint failed")))
		Expect(conn.Exec("SELECT * FROM missing")).To(MatchError(ContainSubstring("no such table: missing")))
	})
})
