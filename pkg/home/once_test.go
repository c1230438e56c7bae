package home_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/home"
	"limpetspan/pkg/oncetable"
	"limpetspan/pkg/target"
	standin "limpetspan/standin/target"
)

// startMembers starts a group of stand-in members "a", "b" and "c".
func startMembers() *standin.Group {
	members, err := standin.NewGroup(standin.Options{
		Members: []standin.MemberOptions{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}, {ID: "c", Zone: "z3"}},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	Expect(members.Start(ctx)).To(Succeed())
	DeferCleanup(func() {
		members.Close()
		cancel()
	})
	return members
}

func declare(members *standin.Group) *config.Group {
	declared := &config.Group{MaxConnections: 20, Slots: 3, Database: "db"}
	for _, m := range members.Members() {
		declared.Members = append(declared.Members, config.Member{ID: m.ID(), Addr: m.Addr()})
	}
	return declared
}

// daemon is a Manager before a group of stand-in members.
type daemon struct {
	manager *home.Manager
	now     func() core.Time
	// skip is added to the clock.
	skip atomic.Int64
}

func newDaemon(declared *config.Group, reducer func(core.GroupID) home.Reducer) *daemon {
	d := &daemon{}
	now := clock()
	d.now = func() core.Time { return now().Add(time.Duration(d.skip.Load())) }
	d.manager = home.New(home.Options{
		Self: "d1", Zone: "z1", Dialer: &target.Dialer{User: "u", Zone: "z1"}, Now: d.now, NewReducer: reducer,
		Tuning: group.Tuning{ClaimDelay: 10 * time.Millisecond}, OnceRetention: time.Nanosecond,
	})
	DeferCleanup(d.manager.Close)
	d.manager.Ensure("g", declared, 1, []group.Candidate{{ID: "d1", Zone: "z1"}})
	return d
}

func (d *daemon) do(status byte, once string, messages []byte) (*answer, exchange.Result, error) {
	a := &answer{}
	result, err := d.manager.Do(context.Background(), d.request(status, once, messages), a)
	return a, result, err
}

func (d *daemon) request(status byte, once string, messages []byte) *exchange.Request {
	return &exchange.Request{
		Caller: core.CallerID{Entry: "d1", Number: 1}, Messages: messages, TxStatus: status, Group: "g",
		Directives: core.Directives{Session: "s1", Once: once}, Deadline: d.now().Add(waitLimit),
	}
}

// run runs a statement that must succeed and returns its answer.
func (d *daemon) run(status byte, once string, messages []byte) (*answer, exchange.Result) {
	a, result, err := d.do(status, once, messages)
	Expect(err).NotTo(HaveOccurred())
	Expect(a.code()).To(BeEmpty())
	return a, result
}

func (d *daemon) count() string {
	a, _ := d.run('I', "", query("SELECT count(*) FROM charge"))
	return a.first()
}

// code returns the SQLSTATE of the answer's first error, tag its last command tag.
func (a *answer) code() string {
	code := ""
	a.each(func(m pgproto3.BackendMessage, _ byte) {
		if e, ok := m.(*pgproto3.ErrorResponse); ok && code == "" {
			code = e.Code
		}
	})
	return code
}

func (a *answer) tag() string {
	tag := ""
	a.each(func(m pgproto3.BackendMessage, _ byte) {
		if c, ok := m.(*pgproto3.CommandComplete); ok {
			tag = string(c.CommandTag)
		}
	})
	return tag
}

var _ = Describe("A must-not-repeat key", func() {
	insert := query("INSERT INTO charge VALUES(7)")
	var members *standin.Group
	var d *daemon
	another := func() *daemon {
		return newDaemon(declare(members), func(core.GroupID) home.Reducer { return newFakeReducer(2) })
	}
	BeforeEach(func() {
		members = startMembers()
		d = another()
		d.run('I', "", query("CREATE TABLE charge(amount int)"))
	})

	// The fines desk charges a rider, loses the answer and asks again. Without
	// the guard's row the rider would pay twice.
	It("lets a charge run once and tells the second asker the first result", func() {
		first, result := d.run('I', "k1", insert)
		Expect(first.types()).To(Equal("CZ"))
		Expect(result.TxStatus).To(Equal(byte('I')))
		Expect(result.Position.IsZero()).To(BeFalse())
		second, result := d.run('I', "k1", insert)
		Expect(second.types()).To(Equal("NCZ"))
		Expect(second.tag()).To(Equal(first.tag()))
		Expect(result.Position.IsZero()).To(BeFalse())
		Expect(d.count()).To(Equal("1"))
	})

	It("repeats the answer of the extended protocol in its own shape", func() {
		messages := encode(&pgproto3.Parse{Query: "INSERT INTO charge VALUES(7)"}, &pgproto3.Bind{},
			&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
		first, _ := d.run('I', "k1", messages)
		Expect(first.types()).To(Equal("12nCZ"))
		second, _ := d.run('I', "k1", messages)
		Expect(second.types()).To(Equal("12nNCZ"))
		Expect(d.count()).To(Equal("1"))
	})

	It("is free again after the statement failed", func() {
		a, result, err := d.do('I', "k1", query("INSERT INTO charge VALUES(1, 2, 3)"))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.types()).To(Equal("EZ"))
		Expect(result.TxStatus).To(Equal(byte('I')))
		d.run('I', "k1", insert)
		Expect(d.count()).To(Equal("1"))
	})

	It("of a statement with rows answers the second asker that it ran", func() {
		returning := query("INSERT INTO charge VALUES(7) RETURNING amount")
		first, _ := d.run('I', "k1", returning)
		Expect(first.types()).To(Equal("TDCZ"))
		a, _, err := d.do('I', "k1", returning)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.types()).To(Equal("EZ"))
		Expect(a.code()).To(Equal("23505"))
		Expect(d.count()).To(Equal("1"))
	})

	// A caller charges inside its own transaction and rolls it back: the charge
	// did not happen, so the key must be free.
	It("joins the caller's transaction", func() {
		d.run('I', "", query("BEGIN"))
		_, result := d.run('T', "k1", insert)
		Expect(result.TxStatus).To(Equal(byte('T')))
		d.run('T', "", query("ROLLBACK"))
		Expect(d.count()).To(Equal("0"))

		d.run('I', "", query("BEGIN"))
		d.run('T', "k1", insert)
		second, result := d.run('T', "k1", insert)
		Expect(second.types()).To(Equal("NCZ"))
		Expect(result.TxStatus).To(Equal(byte('T')))
		d.run('T', "", query("COMMIT"))
		Expect(d.count()).To(Equal("1"))
	})

	It("finds its table also when the caller's transaction keeps others from making it", func() {
		d.run('I', "", query("BEGIN"))
		d.run('T', "", insert)
		_, result := d.run('T', "k1", insert)
		Expect(result.TxStatus).To(Equal(byte('T')))
		d.run('T', "", query("COMMIT"))
		second, _ := d.run('I', "k1", insert)
		Expect(second.types()).To(Equal("NCZ"))
		Expect(d.count()).To(Equal("2"))
	})

	It("is recorded also when the messages end the transaction themselves", func() {
		d.run('I', "k1", query("INSERT INTO charge VALUES(7); COMMIT"))
		a, _, err := d.do('I', "k1", insert)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.code()).To(Equal("23505"))
		Expect(d.count()).To(Equal("1"))
	})

	// A rider presses the button again and again, and the balancer sends each
	// press through another proxy while the first is still under way.
	It("runs once when it comes through two proxies at the same time", func() {
		other := another()
		answers := make(chan string, 12)
		for i := range 12 {
			via := []*daemon{d, other}[i%2]
			go func() {
				defer GinkgoRecover()
				req := via.request('I', "k1", insert)
				req.Caller.Number = uint64(i)
				a := &answer{}
				_, err := via.manager.Do(context.Background(), req, a)
				Expect(err).NotTo(HaveOccurred())
				answers <- a.tag()
			}()
		}
		for range 12 {
			Eventually(answers, waitLimit).Should(Receive(Equal("INSERT 0 1")))
		}
		Expect(d.count()).To(Equal("1"))
	})

	// The answer of a charge is late, the proxy gives it up as unknown and dies.
	// The caller asks again through another: the charge may have been made or not,
	// but after the second answer it has been made exactly once.
	DescribeTable("settles an unknown outcome through another proxy", func(after time.Duration) {
		other := another()
		d.run('I', "k0", insert)
		Expect(members.Faults().Delay("a", standin.Delay{For: 60 * time.Millisecond})).To(Succeed())
		req := d.request('I', "k1", insert)
		req.Deadline = d.now().Add(after)
		_, err := d.manager.Do(context.Background(), req, &answer{})
		Expect(err).To(HaveOccurred())
		d.manager.Close()
		Expect(members.Faults().Delay("a", standin.Delay{})).To(Succeed())
		a, _ := other.run('I', "k1", insert)
		Expect(a.tag()).To(Equal("INSERT 0 1"))
		Expect(other.count()).To(Equal("2"))
	},
		Entry("given up during the claim", 30*time.Millisecond),
		Entry("given up during the statement", 90*time.Millisecond),
		Entry("given up during the commit", 150*time.Millisecond),
	)

	// With years of keys, a take-over and the removal of old keys would read the
	// entire table for each batch, in the slots of the callers.
	It("stands in a table with indexes, made once", func() {
		for _, d := range []*daemon{d, another()} {
			d.run('I', "k1", insert)
		}
		a, _ := d.run('I', "", query("SELECT count(*) FROM sqlite_master m WHERE m.type = 'index' "+
			"AND m.tbl_name = 'limpetspan_once' AND m.sql IS NOT NULL"))
		Expect(a.first()).To(Equal("2"))
		created := members.Journal().Match(func(s standin.Statement) bool { return s.SQL == oncetable.Create[0] })
		Expect(created).To(HaveLen(1))
		Expect(created[0].Statements).To(HaveLen(len(oncetable.Create)))
	})

	It("is removed after its retention", func() {
		d.run('I', "k1", insert)
		Eventually(func() string {
			Expect(d.manager.RemoveOldKeys("g", "a")).To(Succeed())
			a, _ := d.run('I', "", query("SELECT count(k.once_key) FROM limpetspan_once k"))
			return a.first()
		}, waitLimit).Should(Equal("0"))
	})
})
