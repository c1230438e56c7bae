package process_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The primary of a group", func() {
	// A paid exit was acknowledged and is gone an hour later. The primary fails
	// while writes run, another member is promoted, and the old primary comes
	// back believing that it is one: what it still commits is lost.
	DescribeTable("is replaced, and nothing that it committed alone was acknowledged",
		func(ctx SpecContext, fault, more, repair string) {
			f := newFleet()
			l := startLoad(6, f.live)
			l.awaitProgress(5)
			old := f.primary()
			f.memberFault(fault, old.ID, more)
			l.awaitProgress(5)
			Expect(f.primary().ID).NotTo(Equal(old.ID))
			f.memberFault(repair, old.ID, "")
			l.awaitProgress(10)
			Eventually(func() string { return f.memberReport(old.ID).Role }).Should(Equal("replica"))
			l.stop()
			l.verify(ctx, f.live()[0])
		},
		Entry("after a crash", "crash", "", "restart"),
		Entry("when it is cut off from all", "partition", `,"clients":true,"members":true`, "heal"),
		Entry("when it is cut off from clients", "partition", `,"clients":true`, "heal"),
		Entry("when it is cut off from its peers", "partition", `,"members":true`, "heal"),
		Entry("when it is paused and woken up", "pause", "", "resume"),
	)

	// All gates of a hall wait for seconds although the database is well. The
	// connections to the primary lost their way in between, new ones work, and
	// a promotion would only add to the harm. What is on a silent connection may
	// be running, so it ends with its deadline; nobody else waits for that.
	DescribeTable("is kept when its connections go silent while new ones work", func(ctx SpecContext, callers int) {
		f := newFleet()
		l := startLoadWithin("8s", callers, f.live)
		l.awaitProgress(5)
		before := f.primary()
		f.memberFault("silence", before.ID, "")
		others := startLoadWithin("1s", 3, f.live)
		others.awaitProgressWithin(silentBound, 5)
		l.awaitProgress(5)
		others.stop()
		l.stop()
		after := f.primary()
		Expect(after.ID).To(Equal(before.ID))
		Expect(after.Status.Term).To(Equal(before.Status.Term), "a promotion was ordered")
		others.verify(ctx, f.live()[0])
		l.verify(ctx, f.live()[0])
	},
		Entry("with places to spare", 6),
		// There are always more callers than places, so silent statements hold all of them.
		Entry("with all places taken", 24),
	)

	// A member that is about to be switched off still gets check-outs, which
	// then hang. The platform's list says so late, or the member itself does.
	DescribeTable("gets no new work soon after it is known to be leaving",
		func(ctx SpecContext, role string, leave func(*fleet, member)) {
			f := newFleet()
			l := startLoad(6, f.live)
			l.awaitProgress(5)
			leaving := f.primary()
			if role == "replica" {
				leaving = f.replica()
			}
			leave(f, leaving)
			Eventually(func() bool {
				before := f.memberReport(leaving.ID).Statements
				l.awaitProgress(3)
				return f.memberReport(leaving.ID).Statements == before
			}).WithTimeout(leavingBound).Should(BeTrue(), "it still gets work")
			before := f.memberReport(leaving.ID).Statements
			l.awaitProgress(20)
			Expect(f.memberReport(leaving.ID).Statements).To(Equal(before), "it got work again")
			Expect(f.primary().ID).NotTo(Equal(leaving.ID))
			l.stop()
			l.verify(ctx, f.live()[0])
		},
		Entry("a primary that says so itself", "primary", (*fleet).leaveByStatus),
		Entry("a replica that says so itself", "replica", (*fleet).leaveByStatus),
		Entry("a primary on the platform's list", "primary", (*fleet).leaveByList),
		Entry("a replica on the platform's list", "replica", (*fleet).leaveByList),
	)
})

// silentBound is how long silent connections hold other callers up: half of
// the deadline of what is on them.
const silentBound = 4 * time.Second

// leavingBound is how soon a leaving target gets no new work, by the promise.
const leavingBound = 3 * time.Second

// replica is a member that is not primary.
func (f *fleet) replica() member {
	GinkgoHelper()
	members, err := f.report()
	Expect(err).NotTo(HaveOccurred())
	for _, m := range members {
		if m.Role == "replica" {
			return m
		}
	}
	Fail("no replica")
	return member{}
}

func (f *fleet) leaveByStatus(m member) {
	GinkgoHelper()
	f.memberFault("leaving", m.ID, `,"on":true`)
}

// leaveByList returns when the platform's list, which lags, shows the host.
func (f *fleet) leaveByList(m member) {
	GinkgoHelper()
	f.storeFault("/hosts/lag", `{"ms":1000}`)
	f.storeFault("/hosts/set", `{"addr":"`+m.Addr+`","zone":"`+m.Zone+`","state":"leaving"}`)
	Eventually(f.hostList).Should(ContainSubstring("leaving"))
}

// hostList is the list as the store shows it.
func (f *fleet) hostList() (string, error) {
	client, err := f.storeClient()
	if err != nil {
		return "", err
	}
	defer client.Close()
	ctx, cancel := shortContext()
	defer cancel()
	hosts, _, err := client.List(ctx, "/platform/hosts/")
	var text strings.Builder
	for _, h := range hosts {
		text.Write(h.Value)
	}
	return text.String(), err
}
