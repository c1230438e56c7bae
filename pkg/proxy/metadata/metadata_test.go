package metadata

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/mirror"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

func TestMetadata(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metadata")
}

const waitLimit = 20 * time.Second

// recordingOwner records changes.
type recordingOwner struct {
	addrs   map[core.DaemonID]string
	changes []Change
}

func (o *recordingOwner) Addr(id core.DaemonID) (string, bool) { a, ok := o.addrs[id]; return a, ok }
func (o *recordingOwner) DaemonsListed([]platform.Item)        {}
func (o *recordingOwner) InstallDocument([]byte)               {}
func (o *recordingOwner) InstallCatalog(*direct.Catalog)       {}
func (o *recordingOwner) Changed(c Change)                     { o.changes = append(o.changes, c) }
func (o *recordingOwner) ProofAdvanced(core.Time)              {}
func (o *recordingOwner) WatchUnusable(error)                  {}
func (o *recordingOwner) ReportDependency(string, error)       {}

var origin = time.Now()

func now() core.Time { return core.Time(time.Since(origin) + time.Hour) }

func newCopy(ctx context.Context, o *recordingOwner) *Copy {
	return New(ctx, Options{Self: "d", Owner: o, Now: now, MaxProofAge: 6 * time.Second})
}

func item(key, value string, revision int) platform.Item {
	return platform.Item{Key: key, Value: []byte(value), Revision: mirror.Revision(revision)}
}

func at(era, revision int) mirror.Position {
	return mirror.Position{Era: mirror.Era(era), Revision: mirror.Revision(revision)}
}

// partStore is a store whose watches return one event at a time. It records the positions at which it was
// when the calls that it has answered were received.
type partStore struct {
	mu     sync.Mutex
	events []platform.Item
	states []storeState
}

type storeState struct {
	at       core.Time
	position mirror.Position
}

// position returns the position of the store, which the lock guards.
func (s *partStore) position() mirror.Position { return at(0, 100+len(s.events)) }

// change adds an event.
func (s *partStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, item("limpetspan/daemon/x", "1", 101+len(s.events)))
	s.states = append(s.states, storeState{now(), s.position()})
}

// positionAt returns the position that the store had at the time.
func (s *partStore) positionAt(t core.Time) mirror.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := at(0, 100)
	for _, state := range s.states {
		if state.at <= t {
			position = state.position
		}
	}
	return position
}

func (s *partStore) List(context.Context, string) ([]platform.Item, mirror.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events[max(0, len(s.events)-1):]), s.position(), nil
}

func (s *partStore) ListStale(ctx context.Context, prefix string) ([]platform.Item, error) {
	items, _, err := s.List(ctx, prefix)
	return items, err
}

func (s *partStore) Position(context.Context) (mirror.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position(), nil
}

func (s *partStore) Watch(ctx context.Context, _ string, after mirror.Position, wait time.Duration) ([]platform.Item, mirror.Position, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		position, next := s.position(), int(after.Revision)-100
		events := slices.Clone(s.events[min(next, len(s.events)):])
		s.mu.Unlock()
		switch {
		case len(events) > 0:
			return events[:1], at(0, int(events[0].Revision)), nil
		case time.Now().After(end) || ctx.Err() != nil:
			return nil, position, ctx.Err()
		}
	}
}

// proofOwner checks each proof against the changes that were reported before.
type proofOwner struct {
	recordingOwner
	store  *partStore
	copied func() mirror.Position
	proofs atomic.Int64
	wrong  atomic.Int64
}

func (o *proofOwner) ProofAdvanced(t core.Time) {
	o.proofs.Add(1)
	if o.copied().Before(o.store.positionAt(t)) {
		o.wrong.Add(1)
	}
}

var _ = Describe("a copy of a store that returns the changes of a watch in parts", func() {
	// Guards against a copy that counts as proved although it lacks changes: callers whose keys were taken
	// away would be served.
	It("has no proof of a time as of which it lacks changes, and has young proofs", func() {
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		store := &partStore{}
		o := &proofOwner{store: store}
		c := New(ctx, Options{Self: "d", Store: store, Owner: o, Now: now, MaxProofAge: 2 * time.Second, ShortWatches: true})
		o.copied = func() mirror.Position {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.mirror.Position()
		}
		c.SetFleet(true, nil)
		go c.Run()
		Eventually(o.proofs.Load, waitLimit).Should(BeNumerically(">", 0))
		for range 20 {
			for range 10 {
				store.change()
			}
			before := o.proofs.Load()
			Eventually(o.proofs.Load, waitLimit).Should(BeNumerically(">", before))
		}
		Expect(o.wrong.Load()).To(BeZero())
	})
})

var _ = Describe("a daemon that stops while an answer from a relay is pending", func() {
	// Guards against a process that still runs at the end of its grace period, because an answer
	// may take seconds.
	It("does not wait for the answer", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		ctx, stop := context.WithCancel(context.Background())
		c := newCopy(ctx, &recordingOwner{})
		asked := make(chan error, 1)
		go func() {
			s, err := c.open(l.Addr().String(), time.Now().Add(2*waitLimit))
			if err == nil {
				_, err = s.exchange(&reportpb.Question{WaitMs: uint64(waitLimit / time.Millisecond)})
			}
			asked <- err
		}()
		_, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		stop()
		Eventually(asked, waitLimit).Should(Receive(HaveOccurred()))
	})
})

var _ = Describe("a relay's proof", func() {
	It("is dated relative to the sending of the question, and never after the answer", func() {
		sent := now()
		received := sent.Add(30 * time.Millisecond)
		Expect(proofTime(sent, received, -int64(time.Second))).To(Equal(sent.Add(-time.Second)))
		Expect(proofTime(sent, received, int64(10*time.Millisecond))).To(Equal(sent.Add(10 * time.Millisecond)))
		Expect(proofTime(sent, received, int64(time.Hour))).To(Equal(received))
	})
})

var _ = Describe("a relay", func() {
	var c *Copy
	var followerEnd net.Conn
	var receive func() *reportpb.Answer
	var ask func(scope reportpb.Scope) *reportpb.Answer
	BeforeEach(func() {
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		c = newCopy(ctx, &recordingOwner{})
		var relayEnd net.Conn
		relayEnd, followerEnd = net.Pipe()
		go c.Serve(relayEnd, bufio.NewReader(relayEnd), func() bool { return false })
		r := bufio.NewReader(followerEnd)
		DeferCleanup(followerEnd.Close)
		receive = func() *reportpb.Answer {
			var a reportpb.Answer
			Expect(protodelim.UnmarshalFrom(r, &a)).To(Succeed())
			return &a
		}
		ask = func(scope reportpb.Scope) *reportpb.Answer {
			_, err := protodelim.MarshalTo(followerEnd, &reportpb.Question{Scope: scope})
			Expect(err).NotTo(HaveOccurred())
			return receive()
		}
	})
	fill := func(position mirror.Position, items ...platform.Item) {
		Expect(c.apply(reportpb.Scope_SCOPE_MEMBERS, position, items, true, now())).To(Succeed())
	}
	change := func(position mirror.Position, items ...platform.Item) {
		Expect(c.apply(reportpb.Scope_SCOPE_MEMBERS, position, items, false, now())).To(Succeed())
	}
	prove := func() {
		sent := now()
		c.mu.Lock()
		c.follower.Loaded(sent)
		c.mu.Unlock()
	}
	keys := func(a *reportpb.Answer) (list []string) {
		for _, i := range a.Items {
			list = append(list, i.Key)
		}
		return list
	}

	It("sends all items first, and then only changes", func() {
		fill(at(1, 10), item("servers/a", "1", 3), item("limpetspan/daemon/x", "2", 4), item("limpetspan/limit/7", "3", 5))
		prove()
		a := ask(reportpb.Scope_SCOPE_MEMBERS)
		Expect(a.Whole).To(BeTrue())
		Expect(keys(a)).To(Equal([]string{"limpetspan/daemon/x", "servers/a"}))
		change(at(1, 12), item("servers/b", "1", 11), platform.Item{Key: "servers/a", Revision: 12, Deleted: true})
		a = ask(reportpb.Scope_SCOPE_MEMBERS)
		Expect(a.Whole).To(BeFalse())
		Expect(keys(a)).To(Equal([]string{"servers/b", "servers/a"}))
		Expect(a.Revision).To(Equal(uint64(12)))
		Expect(ask(reportpb.Scope_SCOPE_MEMBERS).Items).To(BeEmpty())
	})

	// Guards against entries that receive and store all members of a large fleet.
	It("sends only the list of daemons to a daemon that connects to no members", func() {
		fill(at(1, 10), item("servers/a", "1", 3), item("limpetspan/daemon/x", "2", 4))
		prove()
		Expect(keys(ask(reportpb.Scope_SCOPE_DAEMONS))).To(Equal([]string{"limpetspan/daemon/x"}))
		a := ask(reportpb.Scope_SCOPE_MEMBERS)
		Expect(a.Whole).To(BeTrue(), "the scope has changed")
		Expect(a.Items).To(HaveLen(2))
	})

	// Guards against changes of two eras in one answer. Their revisions cannot be compared.
	It("sends all items again in a new era", func() {
		fill(at(1, 10), item("servers/a", "1", 3))
		prove()
		ask(reportpb.Scope_SCOPE_MEMBERS)
		fill(at(2, 6), item("servers/a", "1", 3), item("servers/b", "1", 5))
		a := ask(reportpb.Scope_SCOPE_MEMBERS)
		Expect(a.Whole).To(BeTrue())
		Expect(a.Era).To(Equal(uint64(2)))
	})

	It("puts the number of the question into its answer", func() {
		prove()
		for _, number := range []uint64{1, 2, 0} {
			_, err := protodelim.MarshalTo(followerEnd, &reportpb.Question{WaitMs: 1, Number: number})
			Expect(err).NotTo(HaveOccurred())
			Expect(receive().Number).To(Equal(number), "0 is that of a follower of an earlier version")
		}
	})

	It("answers that members are unknown if its copy lacks them", func() {
		Expect(c.apply(reportpb.Scope_SCOPE_DAEMONS, at(1, 1), nil, true, now())).To(Succeed())
		prove()
		Expect(ask(reportpb.Scope_SCOPE_MEMBERS).Unknown).To(BeTrue())
	})
})
