package home_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	standin "limpetspan/standin/target"
)

// These specs run the shell with the reducer that it ships with.
var _ = Describe("A shard", func() {
	var members *standin.Group
	var d *daemon
	BeforeEach(func() {
		members = startMembers()
		d = newDaemon(declare(members), nil)
		d.eventually(query("CREATE TABLE charge(amount int)"))
	})
	insert := query("INSERT INTO charge VALUES(7)")

	It("becomes home and serves reads and writes", func() {
		d.run('I', "", insert)
		Expect(d.count()).To(Equal("1"))
		snapshot := d.manager.Snapshot()
		Expect(snapshot).To(HaveLen(1))
		Expect(snapshot[0].Connections).To(BeNumerically(">", 0))
	})

	// The primary dies with requests under way. Callers must be served again by
	// the member that takes over, with what was acknowledged before.
	It("takes up writes again after the primary crashed", func() {
		d.run('I', "k1", insert)
		Eventually(func() core.LSN { return d.slowest(members) }, waitLimit).Should(BeNumerically(">=", 1))
		Expect(members.Faults().Crash("a")).To(Succeed())
		d.eventually(query("INSERT INTO charge VALUES(8)"))
		Expect(d.manager.Snapshot()[0].Requests).To(BeZero())
	})

	// Something between the two ends forgets the open connections: they go silent,
	// new ones work. The request under way is lost at its deadline. Without the
	// proof, each idle connection would then cost another request as much.
	It("loses no more than one request to connections that went silent", func() {
		d.run('I', "", insert)
		Expect(members.Faults().Silence("a")).To(Succeed())
		req := d.request('I', "", insert)
		req.Deadline = d.now().Add(300 * time.Millisecond)
		_, err := d.manager.Do(context.Background(), req, &answer{})
		if err != nil {
			Expect(errs.As(err).Outcome).To(Equal(core.OutcomeUnknown))
		}
		d.run('I', "", insert)
		d.run('I', "", insert)
	})

	It("loses no request to connections that went silent while they were idle", func() {
		d.run('I', "", insert)
		Expect(members.Faults().Silence("a")).To(Succeed())
		d.skip.Store(int64(2 * time.Second))
		d.run('I', "", insert)
		Expect(d.count()).To(Equal("2"))
	})

	It("hands over and ends on a drain", func() {
		d.run('I', "", insert)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		Expect(d.manager.Drain(ctx)).To(Succeed())
		_, _, err := d.do('I', "", insert)
		Expect(err).To(HaveOccurred())
	})
})

// eventually runs a statement until it succeeds.
func (d *daemon) eventually(messages []byte) {
	GinkgoHelper()
	Eventually(func() error {
		_, _, err := d.do('I', "", messages)
		return err
	}, 2*waitLimit, 20*time.Millisecond).Should(Succeed())
}

// slowest returns the least offset of all members.
func (d *daemon) slowest(members *standin.Group) core.LSN {
	least := core.LSN(1 << 62)
	for _, m := range members.Members() {
		least = min(least, m.Status().LSN)
	}
	return least
}
