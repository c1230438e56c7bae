package metadata

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
)

var _ = Describe("an odd configuration received from another daemon", func() {
	// Guards against a configuration that no operator can have written, such as one with a statement timeout
	// in the past, which would stay in force until a higher version.
	DescribeTable("is rejected",
		func(change func(c *reportpb.Catalog)) {
			base := &direct.Catalog{Version: 2, Routes: map[string]direct.Route{}, Groups: map[core.GroupID]direct.GroupSpec{}}
			in := &reportpb.Catalog{Version: 3, Base: 2, HasTeams: true,
				Routes: []*reportpb.Route{{Database: "db", Group: "g", StatementTimeoutNs: 5}}, Groups: []*reportpb.GroupSpec{{Group: "g", MaxConns: 3}}, Teams: []*reportpb.Team{{Team: "t", Rate: 2}}}
			_, err := decodeCatalog(base, in)
			Expect(err).NotTo(HaveOccurred())
			change(in)
			_, err = decodeCatalog(base, in)
			Expect(err).To(HaveOccurred())
		},
		Entry("no version", func(c *reportpb.Catalog) { c.Version, c.Base = 0, 0 }),
		Entry("no group", func(c *reportpb.Catalog) { c.Routes[0].Group = "" }),
		Entry("no timeout", func(c *reportpb.Catalog) { c.Routes[0].StatementTimeoutNs = 0 }),
		Entry("a negative timeout", func(c *reportpb.Catalog) { c.Routes[0].StatementTimeoutNs = -1 << 63 }),
		Entry("a negative age", func(c *reportpb.Catalog) { c.Routes[0].MaxAgeNs = -1 }),
		Entry("a negative idle time", func(c *reportpb.Catalog) { c.IdleTransactionNs = -1 }),
		Entry("no connections", func(c *reportpb.Catalog) { c.Groups[0].MaxConns = 0 }),
		Entry("negative replicas", func(c *reportpb.Catalog) { c.Groups[0].SyncReplicas = -1 }),
		Entry("a rate that is no number", func(c *reportpb.Catalog) { c.Teams[0].Rate = math.NaN() }),
		Entry("a negative burst", func(c *reportpb.Catalog) { c.Teams[0].Burst = -1 }),
	)
})

// FuzzAnswer checks that no answer of another daemon crashes the decoder, and that a decoded configuration
// has only usable routes and groups.
func FuzzAnswer(f *testing.F) {
	for _, a := range []*reportpb.Answer{
		{Catalog: &reportpb.Catalog{Version: 3, Routes: []*reportpb.Route{{Database: "db", Group: "g", StatementTimeoutNs: 5}}, Groups: []*reportpb.GroupSpec{{Group: "g", MaxConns: 3}}}},
		{Era: math.MaxUint64, Revision: math.MaxUint64, Whole: true, ProofNs: math.MinInt64, Items: []*reportpb.Item{{Key: "servers/\x00", Value: []byte("{"), Revision: 1}}},
		{Catalog: &reportpb.Catalog{HasTeams: true, Teams: []*reportpb.Team{{Team: "t", Rate: math.Inf(1), KeyFingerprints: [][]byte{{1}}}}}},
	} {
		data, err := proto.Marshal(a)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\x7f"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a reportpb.Answer
		if proto.Unmarshal(data, &a) != nil {
			return
		}
		_ = decodeItems(a.Items)
		sent := now()
		if p := proofTime(sent, sent.Add(1), a.ProofNs); p > sent.Add(1) {
			t.Errorf("proof at %d after the answer", p)
		}
		if a.Catalog == nil {
			return
		}
		c, err := decodeCatalog(nil, a.Catalog)
		if err != nil {
			return
		}
		for _, r := range c.Routes {
			if r.Database == "" || r.Group == "" || r.StatementTimeout <= 0 || r.MaxAge < 0 || r.LatencyGoal < 0 || c.Version == 0 {
				t.Errorf("%+v", r)
			}
		}
		for _, g := range c.Groups {
			if g.MaxConns < 1 || g.SyncReplicas < 0 {
				t.Errorf("%+v", g)
			}
		}
	})
}
