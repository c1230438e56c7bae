package front

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

var _ = DescribeTable("A leading comment", func(sql string, expected core.Directives, rest string) {
	d, after, err := parseComments([]byte(sql))
	Expect(err).To(BeNil())
	Expect(d.values).To(Equal(expected))
	Expect(string(after)).To(Equal(rest))
},
	Entry("of directives", "/*kind='lot',version='3',key='k 1',read='true',max_staleness='2s',once='o',deadline='1500ms',session='s'*/SELECT",
		core.Directives{Kind: "lot", Version: "3", Key: "k 1", Read: true, MaxStaleness: 2 * time.Second, Once: "o",
			Timeout: 1500 * time.Millisecond, Session: "s"}, "SELECT"),
	Entry("with a trace context", " /* traceparent='"+traceparent+"' */ SELECT", core.Directives{Traceparent: traceparent}, "SELECT"),
	Entry("with encoded and escaped characters", `/*key='a%2Cb%20c\'d+e',kind='x%27'*/S`, core.Directives{Key: "a,b c'd+e", Kind: "x'"}, "S"),
	Entry("with unknown keys", "/*route='%2Fpolls',kind='a',db_driver='x%'*/S", core.Directives{Kind: "a"}, "S"),
	Entry("of ordinary words", "/* name: Get = one */ -- x = 1\nSELECT", core.Directives{}, "SELECT"),
	Entry("that is a hint, before directives", "/*+ SeqScan(t) *//*kind='a'*/SELECT", core.Directives{Kind: "a"}, "SELECT"),
	Entry("with a nested comment", "/* a /* x='b' */ c */SELECT", core.Directives{}, "SELECT"),
	Entry("that does not end", "/*kind='b' SELECT", core.Directives{}, "/*kind='b' SELECT"),
	Entry("that is not leading", "SELECT /*kind='b'*/ 1", core.Directives{}, "SELECT /*kind='b'*/ 1"),
	Entry("without anything", "/**/ /*'='*/", core.Directives{}, ""),
)

var _ = DescribeTable("A malformed directive is refused:", func(sql, state string) {
	_, _, err := parseComments([]byte(sql))
	Expect(err).NotTo(BeNil())
	Expect(err.Kind.SQLState).To(Equal(state))
	Expect(err.Outcome).To(Equal(core.OutcomeNotRun))
},
	Entry("no quotes", "/*once=k*/ INSERT", "08P01"),
	Entry("hidden in a nested comment", "/* a /* kind='b' */ c */ SELECT", "08P01"),
	Entry("no end quote", "/*kind='a,once='k*/ INSERT", "08P01"),
	Entry("no comma", "/*kind='a' once='k'*/ INSERT", "08P01"),
	Entry("a comma at the end", "/*once='k',*/ INSERT", "08P01"),
	Entry("given twice", "/*kind='a'*//*kind='b'*/ INSERT", "08P01"),
	Entry("no URL encoding", "/*key='%zz'*/ SELECT", "22023"),
	Entry("no boolean", "/*read='maybe'*/ SELECT", "22023"),
	Entry("no unit", "/*deadline='5'*/ SELECT", "22023"),
	Entry("a negative age", "/*max_staleness='-5s'*/ SELECT", "22023"),
	Entry("no trace context", "/*traceparent='00-x'*/ SELECT", "22023"),
	Entry("too long", "/*key='"+strings.Repeat("k", 513)+"'*/ SELECT", "22023"),
)

var _ = DescribeTable("A statement is classified by its leading keyword:", func(sql string, kind actionKind) {
	Expect(classify([]byte(sql)).kind).To(Equal(kind), sql)
},
	Entry(nil, "SELECT 1", actionForward),
	Entry(nil, "begin", actionControl),
	Entry(nil, "settings", actionForward),
	Entry(nil, "", actionForward),
	Entry(nil, "set Limpetspan.kind = 'x';", actionSet),
	Entry(nil, "SET SESSION limpetspan.read TO on", actionSet),
	Entry(nil, "SET limpetspan.kind TO DEFAULT", actionReset),
	Entry(nil, "SET limpetspan.kind = 'x'; SELECT 1", actionRefuse),
	Entry(nil, "SET limpetspan.kind = 'x", actionRefuse),
	Entry(nil, "SET limpetspan.kind", actionRefuse),
	Entry(nil, "SET limpetspan.nothing = 1", actionRefuse),
	Entry(nil, "SET limpetspan.read = perhaps", actionRefuse),
	Entry(nil, "SET LOCAL limpetspan.kind = 'x'", actionRefuse),
	Entry(nil, "SET LOCAL work_mem = '1MB'", actionForward),
	Entry(nil, "SET TRANSACTION READ ONLY", actionForward),
	Entry(nil, "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", actionRefuse),
	Entry(nil, "SET work_mem = '1MB'", actionRefuse),
	Entry(nil, "SET client_encoding TO 'UTF8'", actionNothing),
	Entry(nil, "SET NAMES 'latin1'", actionRefuse),
	Entry(nil, "SET TIME ZONE 'UTC'", actionNothing),
	Entry(nil, "SET extra_float_digits = 3", actionNothing),
	Entry(nil, "SET DateStyle = ISO, MDY", actionNothing),
	Entry(nil, "SET application_name = 'x'", actionNothing),
	Entry(nil, "SHOW limpetspan.once", actionShow),
	Entry(nil, "SHOW search_path", actionForward),
	Entry(nil, "RESET limpetspan.once", actionReset),
	Entry(nil, "RESET ALL", actionResetAll),
	Entry(nil, "LISTEN x", actionRefuse),
	Entry(nil, "UNLISTEN *", actionNothing),
	Entry(nil, "PREPARE TRANSACTION 'x'", actionRefuse),
	Entry(nil, "EXECUTE p(1)", actionRefuse),
	Entry(nil, "DEALLOCATE PREPARE ALL", actionDeallocateAll),
	Entry(nil, `DEALLOCATE "p"`, actionDeallocate),
	Entry(nil, "CREATE TEMP TABLE t ()", actionRefuse),
	Entry(nil, "CREATE TABLE t ()", actionForward),
	Entry(nil, "COPY t FROM STDIN", actionRefuse),
	Entry(nil, "COPY t TO STDOUT", actionForward),
	Entry(nil, "COMMIT WORK AND NO CHAIN;", actionEnd),
	Entry(nil, "COMMIT AND CHAIN", actionControl),
	Entry(nil, "COMMIT; INSERT", actionControl),
	Entry(nil, "UNLISTEN *; INSERT", actionRefuse),
	Entry(nil, "DISCARD ALL; INSERT", actionRefuse),
	Entry(nil, "ROLLBACK PREPARED 'x'", actionRefuse),
	Entry(nil, "ROLLBACK WORK TO SAVEPOINT a", actionRollbackTo),
)
