package target_test

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/target"
	standin "limpetspan/standin/target"
)

var _ = Describe("A control client", func() {
	var members *standin.Group
	var control *target.Control
	var ctx context.Context
	BeforeEach(func() {
		var err error
		members, err = standin.NewGroup(standin.Options{
			Members: []standin.MemberOptions{{ID: "a", Zone: "hakodate"}, {ID: "b", Zone: "kushiro"}},
			User:    "kita", Password: "cycle", Database: "parkdb",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(members.Start(context.Background())).To(Succeed())
		DeferCleanup(members.Close)
		dialer := &target.Dialer{User: "kita", Password: "cycle", Database: "parkdb", Zone: "hakodate"}
		control = dialer.Control(members.Member("a").Addr())
		DeferCleanup(control.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
		DeferCleanup(cancel)
	})

	It("reads the status and changes the term", func() {
		status, err := control.Status(ctx, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Role).To(Equal(core.RolePrimary))
		status, err = control.Fence(ctx, status.Term+1)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Role).To(Equal(core.RoleFenced))
		status, err = control.Promote(ctx, status.Term+1)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Role).To(Equal(core.RolePrimary))
	})

	It("brings the member's status along when it refuses", func() {
		before, err := control.Status(ctx, false)
		Expect(err).NotTo(HaveOccurred())
		status, err := control.Fence(ctx, before.Term)
		Expect(target.Classify(err)).To(Equal(group.FailureRejected))
		Expect(status.Term).To(Equal(before.Term))
	})

	// Something forgets the open connections: the kept one is silent for good,
	// the member is well. Only a fresh connection tells that from a dead primary.
	It("tells a silent connection from a dead member", func() {
		_, err := control.Status(ctx, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(members.Faults().Silence("a")).To(Succeed())
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err = control.Status(short, false)
		Expect(target.Classify(err)).To(Equal(group.FailureTimeout))
		_, err = control.Status(ctx, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(members.Faults().Crash("a")).To(Succeed())
		_, err = control.Status(ctx, true)
		Expect(target.Classify(err)).To(Equal(group.FailureRefused))
	})

	// The home is frozen with its connections open. Candidates that probe on new
	// connections beside their kept ones find no room, and none becomes home.
	It("asks on the kept connection when there is no room for a new one", func() {
		_, err := control.Status(ctx, false)
		Expect(err).NotTo(HaveOccurred())
		other := (&target.Dialer{User: "kita", Password: "cycle", Database: "parkdb", Zone: "kushiro"}).Control(members.Member("a").Addr())
		DeferCleanup(other.Close)
		for range standin.DefaultMaxConnections - 1 {
			taken := (&target.Dialer{User: "kita", Password: "cycle", Database: "parkdb"}).Control(members.Member("b").Addr())
			DeferCleanup(taken.Close)
			_, err := taken.Status(ctx, false)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = other.Status(ctx, true)
		Expect(target.Classify(err)).To(Equal(group.FailureBusy))
		_, err = control.Status(ctx, true)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = DescribeTable("Failures are told apart", func(err error, failure group.Failure) {
	Expect(target.Classify(err)).To(Equal(failure))
},
	Entry("none", nil, group.FailureNone),
	Entry("no room", &pgconn.PgError{Code: "53300"}, group.FailureBusy),
	Entry("shutting down", &pgconn.PgError{Code: "57P01"}, group.FailureLeaving),
	Entry("refused by rule", &pgconn.PgError{Code: "55000"}, group.FailureRejected),
	Entry("out of time", context.DeadlineExceeded, group.FailureTimeout),
	Entry("broken", net.ErrClosed, group.FailureLost),
	Entry("anything else", errors.New("other"), group.FailureLost),
)
