package proxy

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

// listPropagation is longer than a daemon needs to receive a change of the host list.
const listPropagation = 3 * time.Second

var _ = Describe("the host list", func() {
	// Guards against malformed entries that make a daemon stop serving, or that are logged at each read
	// rather than once.
	It("is used without its unreadable entries, which are logged once per revision", func() {
		f := newFleet(1)
		log := &logBuffer{}
		d := f.daemons[0]
		d.kill()
		d = run(d.s, log)
		f.daemons[0] = d
		Eventually(d.isStarted, waitLimit).Should(BeTrue())
		Expect(f.store.Put("servers/i-stranger", map[string]any{"service": "ledger", "state": "sleeping"})).To(Succeed())
		Expect(f.store.Put("servers/i-number", 7)).To(Succeed())
		x := d.dial("db-own")
		Eventually(func() int { return log.count("i-stranger") }, waitLimit).Should(Equal(1))
		for n := range 4 {
			Expect(f.store.Put("servers/i-restless", n)).To(Succeed())
			Eventually(func() int { return log.count("i-restless") }, waitLimit).Should(Equal(n+1), "once for each revision")
			x.queryUntilServed("WRITE k 1")
		}
		Expect(log.count("i-stranger")).To(Equal(1))
		Expect(log.count("i-number")).To(Equal(1))
		Expect(x.query("READ k").rows).To(Equal([]string{"1"}))
	})

	// Guards against a failover because of a malformed write to the primary's entry.
	It("causes no failover when the primary's entry becomes unreadable", func() {
		f := newFleet(1)
		d := f.daemons[0]
		x := d.dial("db-own")
		x.queryUntilServed("WRITE k 1")
		Expect(f.store.Put("servers/"+f.group.Primary().ID, "scribble")).To(Succeed())
		time.Sleep(listPropagation + direct.UnlistedGrace)
		x.queryUntilServed("WRITE k 2")
		Expect(f.store.PromoteRequests()).To(BeEmpty())
	})
})

var _ = Describe("a report", func() {
	// Guards against reads that miss acknowledged commits. A daemon reads the state of its groups, is
	// frozen for two seconds, and sends the report. If the report were dated by its sending, its
	// sample of the primary's position would seem two seconds too young.
	It("is dated by a time before its content was read", func() {
		received := now()
		t := recipient{stamp: direct.Stamp{Boot: 5, At: 77}, stampAt: received}
		began := received.Add(30 * time.Millisecond)
		var m reportpb.Report
		t.addTimestamps(&m, began)
		Expect(m.Echo).To(Equal(int64(77)))
		Expect(m.EchoBoot).To(Equal(int64(5)))
		Expect(m.EchoAgeUs).To(Equal(uint64(30_000)), "whenever it is sent")
		Expect(m.Stamp).To(Equal(int64(began)))
	})

	It("is never dated before the receiver's timestamp was received", func() {
		received := now()
		t := recipient{stamp: direct.Stamp{Boot: 5, At: 77}, stampAt: received}
		var m reportpb.Report
		t.addTimestamps(&m, received.Add(-time.Second))
		Expect(m.EchoAgeUs).To(BeZero())
	})
})

// FuzzReport checks that no datagram crashes the process or yields a lease or confirmation that is
// dated in the future.
func FuzzReport(f *testing.F) {
	complete, err := proto.Marshal(&reportpb.Report{Daemon: "d2", Ip: "10.0.0.2", Stamp: 5, Boot: 2, Echo: 7, EchoBoot: 1, EchoAgeUs: 3, Groups: []*reportpb.Group{{
		Group: "g", Primary: "a", Term: 1, LeaseLeftUs: 600_000, LedAgeUs: proto.Uint64(5), SampleTerm: 1, SampleLsn: 9, SampleAgeUs: 5,
		Members: []*reportpb.Member{{Member: "b", Open: 2, Confirmed: 1, AgeUs: 1 << 63}},
	}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(complete)
	f.Add(complete[:20])
	f.Add([]byte("\xff\xff"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m reportpb.Report
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		received := core.Time(time.Hour)
		if sent, _ := decodeEcho(&m).SentAt(received, direct.Process{Boot: m.EchoBoot}); sent < 0 || sent > received {
			t.Errorf("%x is dated %v, received at %v", data, sent, received)
		}
		for _, g := range m.Groups {
			r := decodeReport(g)
			if r.LeaseRemaining < 0 || r.SampleAge < 0 || r.PrimarySeenAge < 0 {
				t.Errorf("%x has a negative time: %+v", data, r)
			}
			for _, member := range r.Members {
				if member.ConfirmationAge < 0 {
					t.Errorf("%x has a confirmation from the future: %+v", data, member)
				}
			}
		}
	})
}
