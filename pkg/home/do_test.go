package home_test

import (
	"context"
	"expvar"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
)

var _ = Describe("A request", func() {
	var r *rig
	start := func(conns int) {
		r = newRig(conns)
		DeferCleanup(r.close)
	}

	It("gets its complete answer and the position behind it", func() {
		start(1)
		a, result := r.run(1, "SELECT 1")
		Expect(a.types()).To(Equal("DCZ"))
		Expect(result.Position).To(Equal(core.Position{Term: 2, LSN: 100}))
		Expect(result.TxStatus).To(Equal(byte('I')))
	})

	// A check-out runs in the caller's own transaction. Without the position of its
	// COMMIT the rider's next read could come from a replica that lacks it.
	It("that ends a transaction brings its position", func() {
		start(1)
		for _, step := range []struct {
			sql           string
			before, after byte
			known         bool
		}{{"BEGIN", 'I', 'T', false}, {"INSERT", 'T', 'T', false}, {"COMMIT", 'T', 'I', true}} {
			req := r.request(1, query(step.sql))
			req.TxStatus = step.before
			a, result, err := r.do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.types()).To(Equal("DCZ"))
			Expect(result.TxStatus).To(Equal(step.after))
			Expect(!result.Position.IsZero()).To(Equal(step.known))
		}
		Expect(r.member.count("SELECT * FROM limpetspan_position()")).To(Equal(1))
	})

	// A rider's request times out while the member still works on it. Then the
	// member answers. If the connection had gone back to the pool, the next rider
	// would read the first one's answer as its own.
	It("never reads the late answer of another", func() {
		start(1)
		gate := r.member.gate("late")
		late := r.request(1, query("WAIT late"))
		late.Deadline = within(r.now(), 50*time.Millisecond)
		_, _, err := r.do(late)
		Expect(errs.Is(err, errs.DeadlineExceeded)).To(BeTrue())
		Expect(errs.As(err).Outcome).To(Equal(core.OutcomeUnknown))
		close(gate)
		a, _ := r.run(2, "SELECT mine")
		Expect(a.first()).To(Equal("SELECT mine"))
		Expect(r.member.sessionCount()).To(BeNumerically(">", 1))
	})

	// Two callers use the same statement name for different texts, as drivers
	// with numbered statements do, and share a connection of the pool. Without
	// the bookkeeping the second one would run the first one's statement.
	It("finds its prepared statements on whichever connection it gets", func() {
		start(1)
		run := func(caller uint64, sql string) string {
			req := r.request(caller, encode(&pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{}))
			req.Prepared = []exchange.Prepared{{Name: "s1", Parse: encode(&pgproto3.Parse{Name: "s1", Query: sql})}}
			a, _, err := r.do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.types()).To(Equal("2DCZ"))
			return a.first()
		}
		Expect(run(1, "SELECT a")).To(Equal("SELECT a"))
		Expect(run(2, "SELECT b")).To(Equal("SELECT b"))
		Expect(run(2, "SELECT b")).To(Equal("SELECT b"))
		Expect(run(1, "SELECT a")).To(Equal("SELECT a"))
	})

	It("may define a statement under a name that another caller left behind", func() {
		start(1)
		for _, sql := range []string{"SELECT a", "SELECT b"} {
			a, _, err := r.do(r.request(1, encode(&pgproto3.Parse{Name: "s1", Query: sql},
				&pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})))
			Expect(err).NotTo(HaveOccurred())
			Expect(a.types()).To(Equal("12DCZ"))
			Expect(a.first()).To(Equal(sql))
		}
	})

	// A caller goes away in the middle of its transaction. Its open work must
	// neither stay on the connection nor reach the next caller.
	It("of a caller that hung up leaves no open transaction behind", func() {
		start(1)
		_, result := r.run(1, "BEGIN")
		Expect(result.TxStatus).To(Equal(byte('T')))
		r.manager.Hangup(core.CallerID{Entry: "d1", Number: 1})
		a, result := r.run(2, "SELECT 1")
		Expect(result.TxStatus).To(Equal(byte('I')))
		Expect(a.types()).To(Equal("DCZ"))
		Expect(r.member.sessionCount()).To(Equal(2))
	})

	// A charge's transaction is lost, with its connection or while its request
	// runs past its deadline. Told that it is open, the caller's ROLLBACK would go
	// to the home and fail for want of the transaction, time after time.
	It("of a lost transaction says that there is none", func() {
		start(1)
		begin := func() {
			_, result := r.run(1, "BEGIN")
			Expect(result.TxStatus).To(Equal(byte('T')))
		}
		fail := func(sql string, within core.Time) byte {
			req := r.request(1, query(sql))
			req.TxStatus, req.Deadline = 'T', within
			_, result, err := r.do(req)
			Expect(err).To(HaveOccurred())
			return result.TxStatus
		}
		begin()
		Expect(fail("DIE", within(r.now(), waitLimit))).To(Equal(byte('I')))
		begin()
		Expect(fail("WAIT for ever", within(r.now(), 50*time.Millisecond))).To(Equal(byte('I')))
	})

	It("that is malformed is refused before anything is sent, and leaves the transaction open", func() {
		start(1)
		r.run(1, "BEGIN")
		for _, step := range []struct {
			caller        uint64
			before, after byte
		}{{1, 'T', 'T'}, {2, 'T', 'I'}, {3, 'I', 'I'}} {
			malformed := r.request(step.caller, []byte{'Q', 0, 0, 0, 99, 'x'})
			malformed.TxStatus = step.before
			_, result, err := r.do(malformed)
			Expect(errs.Is(err, errs.BadRequest)).To(BeTrue())
			Expect(result.TxStatus).To(Equal(step.after))
		}
		next := r.request(1, query("SELECT 2"))
		next.TxStatus = 'T'
		_, _, err := r.do(next)
		Expect(err).NotTo(HaveOccurred())
	})

	// A stand's display reads its listing slowly. Its connection waits for it;
	// the other callers of the group must not.
	It("of a slow caller does not hold up others", func() {
		start(2)
		slow := &answer{block: make(chan struct{})}
		done := make(chan error, 1)
		go func() {
			req := r.request(1, query("BIG"))
			req.Read = true
			_, err := r.manager.Do(context.Background(), req, slow)
			done <- err
		}()
		Eventually(func() int { return r.member.count("BIG") }, waitLimit).Should(Equal(1))
		for i := range 5 {
			_, _, err := r.do(r.request(uint64(10+i), query("SELECT 1")))
			Expect(err).NotTo(HaveOccurred())
		}
		Consistently(done, 20*time.Millisecond).ShouldNot(Receive())
		close(slow.block)
		Eventually(done, waitLimit).Should(Receive(BeNil()))
	})

	// A rider cancels, the statement ends just then, and the cancel request
	// arrives at the member afterwards: it would cancel the statement of whoever
	// got the connection next, here one that waits for it already.
	It("that is cancelled while it runs leaves its connection to nobody", func() {
		start(1)
		done := make(chan error, 2)
		run := func(caller uint64, sql string) {
			_, _, err := r.do(r.request(caller, query(sql)))
			done <- err
		}
		go run(1, "WAIT cancel")
		Eventually(func() int { return r.member.count("WAIT cancel") }, waitLimit).Should(Equal(1))
		go run(2, "SELECT next")
		Eventually(func() int { return r.manager.Snapshot()[0].Requests }, waitLimit).Should(Equal(2))
		r.manager.Cancel(core.CallerID{Entry: "d1", Number: 1})
		Eventually(r.member.cancels.Load, waitLimit).Should(Equal(int32(1)))
		close(r.member.gate("cancel"))
		Eventually(done, waitLimit).Should(Receive(BeNil()))
		Eventually(done, waitLimit).Should(Receive(BeNil()))
		Expect(r.member.last("SELECT next")).NotTo(Equal(r.member.last("WAIT cancel")))
		Expect(r.reducer.results).To(ContainElement(group.ResultNotSent))
	})

	It("whose context ends is answered at once", func() {
		start(1)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := r.manager.Do(ctx, r.request(1, query("WAIT ctx")), &answer{})
			done <- err
		}()
		Eventually(func() int { return r.member.count("WAIT ctx") }, waitLimit).Should(Equal(1))
		cancel()
		var err error
		Eventually(done, waitLimit).Should(Receive(&err))
		Expect(errs.Is(err, errs.Cancelled)).To(BeTrue())
		close(r.member.gate("ctx"))
	})

	It("whose connection breaks has an unknown outcome and is not tried again", func() {
		start(1)
		_, _, err := r.do(r.request(1, query("DIE")))
		Expect(errs.As(err).Outcome).To(Equal(core.OutcomeUnknown))
		Expect(r.member.count("DIE")).To(Equal(1))
		Expect(r.reducer.results).To(Equal([]group.Result{group.ResultLost}))
	})

	// Guards against the answer to another request, and against a member that repeats answers unnoticed.
	DescribeTable("that the member answers out of step is in doubt and counted", func(once string) {
		start(1)
		req := r.request(1, query("AGAIN"))
		req.Once = once
		a, _, err := r.do(req)
		Expect(errs.As(err).Outcome).To(Equal(core.OutcomeUnknown))
		Expect(a.types()).To(BeEmpty())
		Expect(r.member.count("AGAIN")).To(Equal(1))
		shard := expvar.Get("limpetspan.home").(*expvar.Map).Get("d1/g").(*expvar.Map)
		Expect(shard.Get("connections_out_of_step").String()).To(Equal("1"))
	},
		Entry("a write", ""),
		Entry("a write with a must-not-repeat key", "k-1"),
	)

	// A stand reads a listing, and the connection breaks after some rows. Lost reads
	// are repeated; the rows that the stand has already would come twice.
	It("that was half answered is not tried again", func() {
		start(1)
		req := r.request(1, query("HALF"))
		req.Read = true
		a, _, err := r.do(req)
		Expect(errs.Is(err, errs.ConnectionLost)).To(BeTrue())
		Expect(a.types()).To(Equal("D"))
		Expect(r.member.count("HALF")).To(Equal(1))
	})

	It("that finds its connection closed was not sent", func() {
		start(1)
		r.run(1, "SELECT 1")
		r.member.hangUp()
		r.run(1, "SELECT 2")
		Expect(r.reducer.results).To(Equal([]group.Result{group.ResultOK, group.ResultNotSent, group.ResultOK}))
	})

	DescribeTable("that the member refuses is told apart from one that failed",
		func(sql string, result group.Result) {
			start(1)
			_, _, _ = r.do(r.request(1, query(sql)))
			Expect(r.reducer.results).To(Equal([]group.Result{result}))
		},
		Entry("a replica", "FAIL 25006", group.ResultReadOnly),
		Entry("a leaving member", "FAIL 57P03", group.ResultLeaving),
		Entry("an error of the statement", "FAIL 23505", group.ResultOK),
		Entry("a fatal end in the middle", "FATAL 57P01", group.ResultLost),
		Entry("a fatal refusal", "FATAL 57P03", group.ResultLeaving),
	)

	It("with COPY FROM STDIN is refused and did not run", func() {
		start(1)
		for _, messages := range [][]byte{
			query("COPY bay FROM STDIN"),
			encode(&pgproto3.Parse{Query: "COPY bay FROM STDIN"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		} {
			a, result, err := r.do(r.request(1, messages))
			Expect(err).NotTo(HaveOccurred())
			Expect(a.code()).To(Equal("0A000"))
			Expect(result.TxStatus).To(Equal(byte('I')))
			a, _ = r.run(1, "SELECT 1")
			Expect(a.first()).To(Equal("SELECT 1"))
		}
		Expect(r.member.sessionCount()).To(Equal(1))
	})

	It("whose held answer is too large is told that it ran", func() {
		start(1)
		_, _, err := r.do(r.request(1, encode(&pgproto3.Parse{Query: "BIG"}, &pgproto3.Bind{}, &pgproto3.Execute{},
			&pgproto3.Execute{}, &pgproto3.Sync{})))
		Expect(errs.As(err).Outcome).To(Equal(core.OutcomeRan))
		Expect(errs.As(err).Step).To(Equal("home.hold"))
		r.run(1, "SELECT 1")
	})

	It("of many messages is sent while its answer is read", func() {
		start(1)
		var messages []pgproto3.FrontendMessage
		for range 200 {
			messages = append(messages, &pgproto3.Parse{Query: "SOME " + strings.Repeat("x", 16<<10)},
				&pgproto3.Bind{}, &pgproto3.Execute{})
		}
		req := r.request(1, encode(append(messages, &pgproto3.Sync{})...))
		req.Read = true
		a, _, err := r.do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(a.types(), "C")).To(Equal(200))
	})

	// A statement changes a setting of the session. The next caller on the
	// connection would run under it without having asked for it.
	It("leaves no session settings to the next caller", func() {
		start(1)
		r.run(1, "SET search_path")
		r.run(2, "SELECT 1")
		Expect(r.member.last("SELECT 1")).NotTo(Equal(r.member.last("SET search_path")))
	})
})
