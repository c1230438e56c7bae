package entry_test

import (
	"context"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/entry"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/fleet"
)

// answer is what a fake daemon says to one request.
type answer func(req *exchange.Request, w exchange.Writer) (exchange.Result, error)

// fakeFleet is the other daemons, the local home and the view of both: "self"
// and the daemons named as their addresses.
type fakeFleet struct {
	mu         sync.Mutex
	home       fleet.Home
	candidates []core.DaemonID
	answers    map[core.DaemonID]answer
	asked      []core.DaemonID
	hangups    []core.DaemonID
	cancels    []core.DaemonID
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{answers: make(map[core.DaemonID]answer)}
}

func (f *fakeFleet) Self() fleet.Daemon { return fleet.Daemon{ID: "self"} }

func (f *fakeFleet) Home(core.GroupID) (fleet.Home, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.home, f.home.Daemon != ""
}

func (f *fakeFleet) setHome(id core.DaemonID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.home = fleet.Home{Group: "g", Daemon: id}
}

func (f *fakeFleet) Candidates(core.GroupID) []fleet.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []fleet.Daemon
	for _, id := range f.candidates {
		list = append(list, fleet.Daemon{ID: id, PeerAddr: string(id)})
	}
	return list
}

func (f *fakeFleet) Daemon(id core.DaemonID) (fleet.Daemon, bool) {
	return fleet.Daemon{ID: id, PeerAddr: string(id)}, true
}

func (f *fakeFleet) Exchange(_ context.Context, addr string, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	f.mu.Lock()
	id := core.DaemonID(addr)
	f.asked = append(f.asked, id)
	a := f.answers[id]
	f.mu.Unlock()
	return a(req, w)
}

func (f *fakeFleet) Do(ctx context.Context, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	return f.Exchange(ctx, "self", req, w)
}

func (f *fakeFleet) note(list *[]core.DaemonID, id core.DaemonID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	*list = append(*list, id)
	return nil
}

// localHome is the local side of the fake fleet.
type localHome struct{ *fakeFleet }

func (l localHome) Cancel(core.CallerID) { _ = l.note(&l.cancels, "self") }
func (l localHome) Hangup(core.CallerID) { _ = l.note(&l.hangups, "self") }

// remoteHomes is its remote side.
type remoteHomes struct{ *fakeFleet }

func (r remoteHomes) Cancel(_ context.Context, addr string, _ core.CallerID, _ core.GroupID) error {
	return r.note(&r.cancels, core.DaemonID(addr))
}

func (r remoteHomes) Hangup(_ context.Context, addr string, _ core.CallerID, _ core.GroupID) error {
	return r.note(&r.hangups, core.DaemonID(addr))
}

func (f *fakeFleet) daemonsAsked() []core.DaemonID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]core.DaemonID(nil), f.asked...)
}

func (f *fakeFleet) hungUp() []core.DaemonID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]core.DaemonID(nil), f.hangups...)
}

func (f *fakeFleet) cancelled() []core.DaemonID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]core.DaemonID(nil), f.cancels...)
}

// ok serves the request and leaves the transaction status.
func ok(status byte) answer {
	return func(req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
		_, err := w.Write([]byte("rows"))
		return exchange.Result{TxStatus: status, Group: req.Group, Position: core.Position{Term: 2, LSN: 9}}, err
	}
}

// fails refuses the request or loses it.
func fails(kind *errs.Kind, outcome core.Outcome) answer {
	return func(req *exchange.Request, _ exchange.Writer) (exchange.Result, error) {
		return exchange.Result{TxStatus: req.TxStatus}, errs.New(kind, outcome, "test", "", "test")
	}
}

// hints refuses the request as not home and names who is.
func hints(id core.DaemonID) answer {
	return func(*exchange.Request, exchange.Writer) (exchange.Result, error) {
		err := errs.New(errs.NotHome, core.OutcomeNotRun, "test", "", "not home")
		err.Hint = id
		return exchange.Result{}, err
	}
}

// inOrder answers with each in turn, and with the last one for ever.
func inOrder(list ...answer) answer {
	var mu sync.Mutex
	return func(req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
		mu.Lock()
		a := list[0]
		if len(list) > 1 {
			list = list[1:]
		}
		mu.Unlock()
		return a(req, w)
	}
}

var origin = time.Now()

func now() core.Time { return core.Time(time.Since(origin)) }

func newEntry(f *fakeFleet, change func(*entry.Options)) *entry.Entry {
	options := entry.Options{
		Fleet: f, Local: localHome{f}, Remote: remoteHomes{f}, Now: now,
		Random: func() float64 { return 0.5 }, Backoff: time.Millisecond,
	}
	if change != nil {
		change(&options)
	}
	e := entry.New(options)
	e.SetDocument(document(1))
	return e
}

// document has group g by default, group h for kind "bid" and versions of both
// sides of a take-over for kind "lot".
func document(revision config.Revision) *config.Document {
	return &config.Document{
		Revision: revision, DefaultGroup: "g",
		Groups: map[core.GroupID]*config.Group{"g": {}, "h": {}},
		Kinds: map[string]*config.Kind{
			"bid": {Group: "h", Durable: true, Versions: []string{"v2", "v3"}, MaxStaleness: time.Second},
			"lot": {Group: "g", Versions: []string{"v1", "v2"}},
		},
		Takeovers: map[string]*config.Takeover{},
	}
}

// newEntryWith is newEntry with another local home.
func newEntryWith(f *fakeFleet, local exchange.Handler) *entry.Entry {
	return newEntry(f, func(o *entry.Options) { o.Local = local })
}
