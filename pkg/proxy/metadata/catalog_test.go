package metadata

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

// roundTrip returns the configuration as a daemon that has base receives it, and its encoded size.
func roundTrip(base, c *direct.Catalog) (got *direct.Catalog, size int, err error) {
	data, err := proto.Marshal(encodeCatalog(base, c))
	if err != nil {
		return nil, 0, err
	}
	var in reportpb.Catalog
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, 0, err
	}
	got, err = decodeCatalog(base, &in)
	return got, len(data), err
}

// randomCatalog returns a random configuration. It has most parts in common with those of other calls.
func randomCatalog(random *rand.Rand, version uint64, teams bool) *direct.Catalog {
	c := &direct.Catalog{Version: version, IdleTransaction: time.Duration(random.IntN(3)) * time.Second, Routes: make(map[string]direct.Route), Groups: make(map[core.GroupID]direct.GroupSpec)}
	for i := range 30 {
		if random.IntN(8) == 0 {
			continue
		}
		name, id := fmt.Sprintf("db%d", i), core.GroupID(fmt.Sprintf("g%d", i%10))
		c.Routes[name] = direct.Route{Database: name, Group: id, Consistency: direct.BoundedAge, MaxAge: time.Second, StatementTimeout: time.Duration(1+random.IntN(2)) * time.Second, Priority: -1, Public: i%7 == 0}
		c.Groups[id] = direct.GroupSpec{ID: id, MaxConns: 20 + random.IntN(2)}
	}
	if teams {
		c.Teams = auth.NewDirectory()
		for i := range 8 {
			if random.IntN(5) == 0 {
				continue
			}
			// Neighbouring teams sometimes share a key, which then belongs to none of them.
			keys := []auth.Fingerprint{auth.FingerprintOf(fmt.Sprint("k", i)), auth.FingerprintOf(fmt.Sprint("k", i+random.IntN(2)))}
			c.Teams.Add(auth.Team{ID: core.TeamID(fmt.Sprint("t", i)), Limited: i%2 == 0, Rate: float64(random.IntN(2))}, keys)
		}
	}
	return c
}

// expectSameTeams expects that both directories accept the same keys.
func expectSameTeams(a, b *auth.Directory) {
	GinkgoHelper()
	Expect(a == nil).To(Equal(b == nil))
	if a == nil {
		return
	}
	Expect(b.IDs()).To(ConsistOf(a.IDs()))
	for i := range 10 {
		f := auth.FingerprintOf(fmt.Sprint("k", i))
		before, known := a.TeamByKey(f)
		after, knownAfter := b.TeamByKey(f)
		Expect(knownAfter).To(Equal(known), "key %d", i)
		Expect(after).To(Equal(before))
	}
}

var _ = Describe("a configuration received from another daemon", func() {
	// Guards against daemons whose configurations differ although their versions are equal.
	It("equals the sender's, sent in full or as a change", func() {
		random := rand.New(rand.NewPCG(5, 5))
		var base *direct.Catalog
		for version := range uint64(400) {
			c := randomCatalog(random, 1+version, version%50 > 10)
			got, _, err := roundTrip(base, c)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Routes).To(Equal(c.Routes))
			Expect(got.Groups).To(Equal(c.Groups))
			Expect(got.IdleTransaction).To(Equal(c.IdleTransaction))
			expectSameTeams(c.Teams, got.Teams)
			base = got
			if random.IntN(10) == 0 {
				base = nil
			}
		}
	})

	// Guards against a change that costs each daemon as much as the full configuration. On weak
	// hosts callers had to wait for it.
	It("has a size that depends only on the change, not on the number of routes", func() {
		size := func(routes int) int {
			c := &direct.Catalog{Version: 1, Routes: make(map[string]direct.Route)}
			for i := range routes {
				name := fmt.Sprint("db", i)
				c.Routes[name] = direct.Route{Database: name, Group: "g", StatementTimeout: time.Second}
			}
			next := *c
			next.Version, next.Routes = 2, cloneWithRoom(c.Routes, 0)
			next.Routes["db7"] = direct.Route{Database: "db7", Group: "g", StatementTimeout: time.Minute}
			_, n, err := roundTrip(c, &next)
			Expect(err).NotTo(HaveOccurred())
			return n
		}
		Expect(size(4000)).To(Equal(size(40)))
	})

	It("is rejected if it is a change to a version that this daemon lacks", func() {
		random := rand.New(rand.NewPCG(6, 6))
		first, second, third := randomCatalog(random, 1, false), randomCatalog(random, 2, false), randomCatalog(random, 3, false)
		_, err := decodeCatalog(first, encodeCatalog(second, third))
		Expect(err).To(MatchError(ContainSubstring("version 3")))
	})

	It("contains no key in clear, and is rejected with a malformed fingerprint", func() {
		c, err := platform.ParseConfiguration([]byte(`{"version":3,"tenants":[{"name":"gates","api_keys":["secret"],"rate_per_s":2,"burst":3}]}`))
		Expect(err).NotTo(HaveOccurred())
		data, err := proto.Marshal(encodeCatalog(nil, c))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).NotTo(ContainSubstring("secret"))
		in := encodeCatalog(nil, c)
		in.Teams[0].KeyFingerprints[0] = in.Teams[0].KeyFingerprints[0][:8]
		_, err = decodeCatalog(nil, in)
		Expect(err).To(HaveOccurred())
	})
})

// FuzzTeams checks that teams accept the same keys after they were sent to another daemon.
func FuzzTeams(f *testing.F) {
	for _, teams := range []string{
		`[{"name":"a","api_keys":["k"],"rate_per_s":3,"burst":2}]`, `[]`, `{}`, `[null]`, `[{"name":"a"},{"name":"a"}]`,
		`[{"name":"a","api_keys":["k","k"]},{"name":"b","api_keys":["k"]}]`, `[{"name":"a","api_keys":["k"],"rate_per_s":1e308,"burst":-0}]`,
	} {
		f.Add(teams)
	}
	f.Fuzz(func(t *testing.T, teams string) {
		c, err := platform.ParseConfiguration([]byte(`{"version":3,"tenants":` + teams + `}`))
		if err != nil || c.Teams == nil {
			return
		}
		got, _, err := roundTrip(nil, c)
		if err != nil {
			t.Fatalf("%q cannot be sent: %v", teams, err)
		}
		for _, key := range []string{"k", "a", ""} {
			before, _ := c.Teams.TeamByKey(auth.FingerprintOf(key))
			after, _ := got.Teams.TeamByKey(auth.FingerprintOf(key))
			if before != after {
				t.Errorf("%q: key %q belongs to %+v before and to %+v after", teams, key, before, after)
			}
		}
	})
}
