package entry_test

import (
	"bytes"
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/entry"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
)

var _ = Describe("entry", func() {
	const bound = 10 * time.Second
	var (
		daemons *fakeFleet
		e       *entry.Entry
		out     *bytes.Buffer
		floors  *exchange.Floors
	)

	BeforeEach(func() {
		daemons, out, floors = newFakeFleet(), &bytes.Buffer{}, &exchange.Floors{}
		daemons.candidates = []core.DaemonID{"d1", "d2", "d3"}
		for _, id := range []core.DaemonID{"self", "d1", "d2", "d3"} {
			daemons.answers[id] = hints("")
		}
		e = newEntry(daemons, nil)
	})

	request := func(sql string, directives core.Directives) *exchange.Request {
		directives.Session = "s"
		return &exchange.Request{
			Caller: core.CallerID{Entry: "self", Number: 1}, Directives: directives, TxStatus: 'I',
			Messages: pgframe.AppendQuery(nil, sql), Floors: floors, Deadline: now().Add(bound),
		}
	}
	do := func(req *exchange.Request) (exchange.Result, error) { return e.Do(context.Background(), req, out) }
	expectError := func(err error, kind *errs.Kind, outcome core.Outcome) {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		Expect(errs.As(err).Kind.Name()).To(Equal(kind.Name()), err.Error())
		Expect(errs.As(err).Outcome).To(Equal(outcome))
	}

	It("routes by kind and fills in what the configuration declares", func() {
		daemons.setHome("self")
		var seen exchange.Request
		daemons.answers["self"] = func(req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			seen = *req
			return ok('I')(req, w)
		}
		floors.Raise("h", core.Position{Term: 2, LSN: 5})
		_, err := do(request("SELECT 1", core.Directives{Kind: "bid", Version: "v3", Read: true}))
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{seen.Group, seen.Revision, seen.Durable, seen.MaxStaleness, seen.Floor}).To(Equal(
			[]any{core.GroupID("h"), uint64(1), true, time.Second, core.Position{Term: 2, LSN: 5}}))
		Expect(floors.Get("h")).To(Equal(core.Position{Term: 2, LSN: 9}))
	})

	It("refuses unknown kinds and versions as not run, and names those in service", func() {
		_, err := do(request("SELECT 1", core.Directives{Kind: "cow"}))
		expectError(err, errs.UnknownKind, core.OutcomeNotRun)
		_, err = do(request("SELECT 1", core.Directives{Kind: "bid", Version: "v1"}))
		expectError(err, errs.VersionNotInService, core.OutcomeNotRun)
		Expect(err).To(MatchError(ContainSubstring("in service: v2, v3")))
		Expect(daemons.daemonsAsked()).To(BeEmpty())
	})

	It("follows the hint of a daemon that is not home, then the candidates", func() {
		daemons.setHome("d2")
		daemons.answers["d2"] = hints("d3")
		daemons.answers["d3"] = fails(errs.ConnectionLost, core.OutcomeNotRun)
		daemons.answers["d1"] = ok('I')
		_, err := do(request("INSERT", core.Directives{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(daemons.daemonsAsked()).To(Equal([]core.DaemonID{"d2", "d3", "d1"}))
	})

	// The home dies and no candidate has taken the group over yet. The caller
	// must not be refused while its deadline allows to wait: it is served as soon
	// as there is news of the new home.
	It("holds a request while the group has no home and goes on at the news", func() {
		e = newEntry(daemons, func(o *entry.Options) { o.Backoff = time.Hour })
		done := make(chan error, 1)
		go func() {
			_, err := do(request("INSERT", core.Directives{}))
			done <- err
		}()
		Eventually(daemons.daemonsAsked).WithTimeout(bound).Should(HaveLen(3))
		Consistently(done).WithTimeout(30 * time.Millisecond).ShouldNot(Receive())
		daemons.mu.Lock()
		daemons.answers["d9"] = ok('I')
		daemons.mu.Unlock()
		daemons.setHome("d9")
		e.HomesChanged([]core.GroupID{"g"})
		Eventually(done).WithTimeout(bound).Should(Receive(BeNil()))
	})

	It("says not run with a time to come back when the deadline passes first", func() {
		req := request("INSERT", core.Directives{})
		req.Deadline = now().Add(20 * time.Millisecond)
		_, err := do(req)
		expectError(err, errs.DeadlineExceeded, core.OutcomeNotRun)
		Expect(errs.As(err).RetryAfter).To(BeNumerically(">", 0))
	})

	// The connection to the home is lost after a charge was sent to it. Sending
	// the charge to the next candidate could make it twice.
	It("never repeats a write that may have run", func() {
		daemons.setHome("d1")
		daemons.answers["d1"] = fails(errs.ConnectionLost, core.OutcomeUnknown)
		daemons.answers["d2"] = ok('I')
		_, err := do(request("UPDATE", core.Directives{}))
		expectError(err, errs.ConnectionLost, core.OutcomeUnknown)
		Expect(daemons.daemonsAsked()).To(Equal([]core.DaemonID{"d1"}))
		Eventually(daemons.hungUp).WithTimeout(bound).Should(ContainElement(core.DaemonID("d1")))
	})

	It("repeats a declared read, unless the caller has seen rows of it", func() {
		daemons.setHome("d1")
		daemons.answers["d1"] = fails(errs.ConnectionLost, core.OutcomeUnknown)
		daemons.answers["d2"] = ok('I')
		_, err := do(request("SELECT", core.Directives{Read: true}))
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String()).To(Equal("rows"))
		daemons.answers["d1"] = func(req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			_, _ = w.Write([]byte("half"))
			return fails(errs.ConnectionLost, core.OutcomeUnknown)(req, w)
		}
		_, err = do(request("SELECT", core.Directives{Read: true}))
		expectError(err, errs.ConnectionLost, core.OutcomeUnknown)
	})

	// A home answers slowly because of its load, and connections to it break.
	// Repeating every read would double that load; the budget bounds it.
	It("stops repeating reads when the budget is used up", func() {
		e = newEntry(daemons, func(o *entry.Options) { o.RetryRatio = 0.1 })
		daemons.setHome("d1")
		daemons.answers["d1"] = fails(errs.ConnectionLost, core.OutcomeUnknown)
		daemons.answers["d2"] = ok('I')
		repeated := 0
		for range 200 {
			if _, err := do(request("SELECT", core.Directives{Read: true})); err == nil {
				repeated++
			}
		}
		Expect(repeated).To(BeNumerically("<=", 20+200/10))
		Expect(repeated).To(BeNumerically(">=", 20))
	})

	It("keeps a transaction where it began, and its commit durable", func() {
		daemons.setHome("d1")
		daemons.answers["d1"] = ok('T')
		begin := request("BEGIN", core.Directives{Kind: "bid", Version: "v2"})
		result, err := do(begin)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.TxStatus).To(Equal(byte('T')))

		daemons.setHome("d2")
		daemons.answers["d2"] = ok('I')
		elsewhere := request("INSERT", core.Directives{Kind: "lot"})
		elsewhere.TxStatus = 'T'
		result, err = do(elsewhere)
		expectError(err, errs.Unsupported, core.OutcomeNotRun)
		Expect(result.TxStatus).To(Equal(byte('T')))

		durable := false
		daemons.answers["d1"] = func(req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			durable = req.Durable && req.Group == "h"
			return ok('I')(req, w)
		}
		commit := request("/* c */ commit;", core.Directives{Kind: "lot"})
		commit.TxStatus = 'T'
		_, err = do(commit)
		Expect(err).NotTo(HaveOccurred())
		Expect(durable).To(BeTrue())
		Expect(daemons.daemonsAsked()).To(Equal([]core.DaemonID{"d1", "d1"}))
	})

	// A statement of a transaction fails and its home says whether the
	// transaction is still there. A caller whose transaction is there must reach
	// it with its ROLLBACK; one whose transaction is gone must not go on asking.
	It("goes by the home's word on whether a transaction survived a failure", func() {
		daemons.setHome("d1")
		gone := func(*exchange.Request, exchange.Writer) (exchange.Result, error) {
			return exchange.Result{TxStatus: 'I'}, errs.New(errs.DeadlineExceeded, core.OutcomeNotRun, "test", "", "test")
		}
		daemons.answers["d1"] = inOrder(ok('T'), fails(errs.Unsupported, core.OutcomeRan), gone)
		_, err := do(request("BEGIN", core.Directives{}))
		Expect(err).NotTo(HaveOccurred())
		next := request("INSERT", core.Directives{})
		next.TxStatus = 'T'
		result, err := do(next)
		expectError(err, errs.Unsupported, core.OutcomeRan)
		Expect(result.TxStatus).To(Equal(byte('T')))
		result, err = do(next)
		expectError(err, errs.DeadlineExceeded, core.OutcomeNotRun)
		Expect(result.TxStatus).To(BeZero())
		_, err = do(next)
		expectError(err, errs.ConnectionLost, core.OutcomeNotRun)
	})

	// A home gives its group up while a transaction is open there. Its next
	// statement must not run alone at the new home, outside the transaction.
	It("loses a transaction with its home instead of moving its statements", func() {
		daemons.setHome("d1")
		daemons.answers["d1"] = inOrder(ok('T'), hints("d2"))
		daemons.answers["d2"] = ok('I')
		_, err := do(request("BEGIN", core.Directives{}))
		Expect(err).NotTo(HaveOccurred())
		next := request("INSERT", core.Directives{})
		next.TxStatus = 'T'
		result, err := do(next)
		expectError(err, errs.ConnectionLost, core.OutcomeNotRun)
		Expect(result.TxStatus).To(BeZero())
		_, err = do(next)
		expectError(err, errs.ConnectionLost, core.OutcomeNotRun)
		Expect(daemons.daemonsAsked()).To(Equal([]core.DaemonID{"d1", "d1"}))
		Eventually(daemons.hungUp).WithTimeout(bound).Should(ContainElement(core.DaemonID("d1")))
	})

	It("hangs up at the home of an open transaction", func() {
		daemons.setHome("d1")
		daemons.answers["d1"] = ok('T')
		_, err := do(request("BEGIN", core.Directives{}))
		Expect(err).NotTo(HaveOccurred())
		e.Hangup(core.CallerID{Entry: "self", Number: 1})
		Eventually(daemons.hungUp).WithTimeout(bound).Should(ConsistOf(core.DaemonID("self"), core.DaemonID("d1")))
	})

	// A take-over fences a bucket for its flip. A write in these milliseconds
	// must neither be refused nor reach the side that is about to lose the
	// bucket: it waits, and goes to the destination after the flip.
	It("holds writes to a fenced bucket and routes them anew", func() {
		daemons.setHome("d1")
		var groups []core.GroupID
		daemons.answers["d1"] = func(req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			groups = append(groups, req.Group)
			return ok('I')(req, w)
		}
		bits := config.WithBits(nil, 8, true, 0, 1, 2, 3, 4, 5, 6, 7)
		move := func(revision config.Revision, flipped, fenced []byte) {
			doc := document(revision)
			doc.Takeovers["lot"] = &config.Takeover{State: config.TakeoverRunning, SourceGroup: "g", SourceVersion: "v1",
				DestinationGroup: "h", DestinationVersion: "v2", Buckets: 8, Flipped: flipped, Fenced: fenced}
			e.SetDocument(doc)
		}
		move(2, nil, bits)
		done := make(chan error, 1)
		go func() {
			_, err := do(request("UPDATE", core.Directives{Kind: "lot", Key: "17"}))
			done <- err
		}()
		Consistently(done).WithTimeout(30 * time.Millisecond).ShouldNot(Receive())
		move(3, bits, nil)
		Eventually(done).WithTimeout(bound).Should(Receive(BeNil()))
		Expect(groups).To(Equal([]core.GroupID{"h"}))
	})

	// One group hangs, and its callers pile up. The callers of other groups must
	// not notice: what is beyond the group's share is shed at once.
	It("sheds what exceeds the share of a group and serves the others", func() {
		e = newEntry(daemons, func(o *entry.Options) { o.GroupInFlight = 2 })
		daemons.setHome("d1")
		release, started := make(chan struct{}), make(chan struct{}, 2)
		daemons.answers["d1"] = func(req *exchange.Request, _ exchange.Writer) (exchange.Result, error) {
			if req.Group == "g" {
				started <- struct{}{}
				<-release
			}
			return exchange.Result{TxStatus: 'I'}, nil
		}
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := do(request("SELECT", core.Directives{}))
				done <- err
			}()
			Eventually(started).WithTimeout(bound).Should(Receive())
		}
		_, err := do(request("SELECT", core.Directives{}))
		expectError(err, errs.Overloaded, core.OutcomeNotRun)
		Expect(errs.As(err).RetryAfter).To(BeNumerically(">", 0))
		_, err = do(request("SELECT", core.Directives{Kind: "bid"}))
		Expect(err).NotTo(HaveOccurred())
		close(release)
		Eventually(done).WithTimeout(bound).Should(Receive(BeNil()))
		Eventually(done).WithTimeout(bound).Should(Receive(BeNil()))
		_, err = do(request("SELECT", core.Directives{}))
		Expect(err).NotTo(HaveOccurred())
	})

	It("cancels a request that waits, and one that runs at another daemon", func() {
		caller := core.CallerID{Entry: "self", Number: 1}
		e = newEntry(daemons, func(o *entry.Options) { o.Backoff = time.Hour })
		done := make(chan error, 1)
		go func() {
			_, err := do(request("INSERT", core.Directives{}))
			done <- err
		}()
		Eventually(func() error {
			e.Cancel(caller)
			select {
			case err := <-done:
				return err
			default:
				return nil
			}
		}).WithTimeout(bound).Should(MatchError(ContainSubstring("cancelled while it waited")))

		daemons.setHome("d1")
		daemons.answers["d1"] = func(req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
			e.Cancel(caller)
			return ok('I')(req, w)
		}
		e.HomesChanged([]core.GroupID{"g"})
		_, err := do(request("INSERT", core.Directives{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(daemons.cancelled()).To(ContainElement(core.DaemonID("d1")))
	})

	It("forgets the floor of a session that was told of its lost write", func() {
		daemons.setHome("d1")
		floors.Raise("g", core.Position{Term: 2, LSN: 5})
		daemons.answers["d1"] = fails(errs.WriteLost, core.OutcomeNotRun)
		_, err := do(request("SELECT", core.Directives{Read: true}))
		expectError(err, errs.WriteLost, core.OutcomeNotRun)
		Expect(floors.Get("g").IsZero()).To(BeTrue())
	})
})
