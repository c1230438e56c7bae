package proxy

import (
	"bufio"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/pkg/proxy/reportpb"
)

// heldDeadlines is a connection whose read deadlines pass when the test says so.
type heldDeadlines struct{ net.Conn }

func (c heldDeadlines) SetReadDeadline(time.Time) error { return c.Conn.SetReadDeadline(time.Time{}) }

func (c heldDeadlines) pass() { Expect(c.Conn.SetReadDeadline(time.Unix(1, 0))).To(Succeed()) }

// pipeEnd is the caller's end of a pipe.
type pipeEnd struct{ net.Conn }

// SetReadDeadline implements net.Conn. A pipe refuses deadlines once its other end is closed; the next
// read then reports the end.
func (c pipeEnd) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != io.ErrClosedPipe {
		return err
	}
	return nil
}

// pipeSession returns a session over a pipe: a write returns once the session has read the data.
func (d *daemon) pipeSession(serve func(s *session)) (*caller, heldDeadlines) {
	near, far := net.Pipe()
	DeferCleanup(near.Close)
	held := heldDeadlines{far}
	go serve(d.p.newSession(held))
	return &caller{c: pipeEnd{near}, r: bufio.NewReader(near)}, held
}

func (d *daemon) pipeCaller(database string) (*caller, heldDeadlines) {
	x, held := d.pipeSession((*session).run)
	x.send("STARTUP " + database + " me")
	Expect(x.line()).To(Equal("READY I -"))
	return x, held
}

func (d *daemon) pipeEntry(database string) (*caller, heldDeadlines) {
	x, held := d.pipeSession(func(s *session) {
		s.fromEntry = true
		s.runFromEntry()
	})
	_, err := protodelim.MarshalTo(x.c, &reportpb.Hello{Database: database, Entry: "edge-9"})
	Expect(err).NotTo(HaveOccurred())
	Expect(protodelim.UnmarshalFrom(x.r, &reportpb.Welcome{})).To(Succeed())
	return x, held
}

// messageAtStop is a connection on which a message arrives while a planned stop sets the read deadline.
type messageAtStop struct {
	net.Conn
	arrive func()
}

func (c messageAtStop) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.arrive()
	}
	return c.Conn.SetReadDeadline(t)
}

func (x *caller) write(data string) {
	_, err := io.WriteString(x.c, data)
	Expect(err).NotTo(HaveOccurred())
}

// incomplete returns the number of messages that were incomplete at a deadline, by outcome.
func (d *daemon) incomplete(outcome string) string {
	if v := d.p.stats.incomplete.Get(outcome); v != nil {
		return v.String()
	}
	return "0"
}

// writePart writes a part of a message and lets a deadline pass.
func (d *daemon) writePart(x *caller, part string, held heldDeadlines) {
	before := d.incomplete(messageKept)
	x.write(part)
	held.pass()
	Eventually(func() string { return d.incomplete(messageKept) }, waitLimit, time.Millisecond).ShouldNot(Equal(before))
}

var _ = Describe("a message of which a part has arrived", func() {
	const text = "WRITE k as seen: QUERY q.9 WRITE fine waived"
	var f *fleet
	var d *daemon
	var sent []string
	BeforeEach(func() {
		f = newFleet(1)
		d = f.daemons[0]
		d.dial("db-primary").queryUntilServed("WRITE k 1")
		sent = f.ran()
	})
	message := func() (id, message string) {
		id = nextStatementID()
		sent = append(sent, id+" "+text)
		return id, "QUERY " + id + " " + text + "\r\n"
	}
	const shortest = len("QUERY q1 " + text + "\r\n")

	// Guards against the rest of a message that runs as a message of its own.
	It("is waited for and served when a planned stop interrupts it at any byte", func() {
		x, held := d.pipeCaller("db-primary")
		for rest := 1; rest < shortest; rest++ {
			id, m := message()
			at := len(m) - rest
			d.writePart(x, m[:at], held)
			x.write(m[at:])
			Expect(x.answerTo(id).isServed()).To(BeTrue(), "cut at byte %d", at)
			Expect(f.ran()).To(Equal(sent))
		}
	})

	// Guards against a part of a message that is lost with the whole message before it.
	It("is waited for and served when a whole message precedes it", func() {
		x, held := d.pipeCaller("db-primary")
		first, m1 := message()
		second, m2 := message()
		x.write(m1 + m2[:20])
		Expect(x.answerTo(first).isServed()).To(BeTrue())
		d.writePart(x, m2[20:25], held)
		x.write(m2[25:])
		Expect(x.answerTo(second).isServed()).To(BeTrue())
		Expect(f.ran()).To(Equal(sent))
	})

	// Guards against a planned stop that waits for a caller which never sends the rest.
	It("is dropped when the rest does not come in time, and none of it runs", func() {
		x, held := d.pipeCaller("db-primary")
		_, m := message()
		d.writePart(x, m[:20], held)
		held.pass()
		Expect(x.line()).To(Equal("closed"))
		Expect(d.incomplete(messageDropped)).To(Equal("1"))
		Expect(f.ran()).To(Equal(sent[:len(sent)-1]))
	})

	// Guards against the rest of a startup message that counts as a message.
	It("is dropped when it is a startup message", func() {
		x, held := d.pipeSession((*session).run)
		x.write("STARTUP db-pri")
		held.pass()
		Expect(x.line()).To(Equal("closed"))
		Expect(d.incomplete(messageDropped)).To(Equal("1"))
	})

	// Guards against the rest of a message that runs as a message of its own on a link.
	It("is served when its entry is asked to move the session", func() {
		for rest := 1; rest < shortest; rest++ {
			x, held := d.pipeEntry("db-primary")
			id, m := message()
			at := len(m) - rest
			d.writePart(x, m[:at], held)
			Expect(x.line()).To(Equal("TERMINATE"))
			x.write(m[at:])
			Expect(x.answerTo(id).isServed()).To(BeTrue(), "cut at byte %d", at)
			Expect(f.ran()).To(Equal(sent))
		}
	})

	// Guards against the rest of a message that ends a transaction.
	It("is answered when its transaction has been idle for too long", func() {
		const text = "WRITE k QUERY q.9 ROLLBACK"
		x, held := d.pipeCaller("db-primary")
		commits := f.group.Commits()
		for rest := 1; rest < len("QUERY q1 "+text+"\r\n"); rest++ {
			Expect(x.query("BEGIN").state).To(Equal("T"))
			Expect(x.query("WRITE k 2").isServed()).To(BeTrue())
			id := nextStatementID()
			m := "QUERY " + id + " " + text + "\r\n"
			at := len(m) - rest
			d.writePart(x, m[:at], held)
			x.write(m[at:])
			a := x.answerTo(id)
			Expect(a.result).To(HavePrefix("ERROR MALFORMED"), "cut at byte %d", at)
			Expect(a.state).To(Equal("E"))
			Expect(x.query("ROLLBACK").state).To(Equal("I"))
		}
		Expect(f.group.Commits()).To(Equal(commits))
	})
})

// Guards against a transaction that is rolled back as idle because its BEGIN arrived while a planned stop looked for
// idle sessions.
var _ = Describe("a BEGIN that arrives while a planned stop interrupts its session", func() {
	expectServed := func(s *session, x *caller, id string) {
		GinkgoHelper()
		Eventually(s.idleSince.Load, waitLimit, time.Millisecond).ShouldNot(BeZero())
		s.endIfIdle(now(), 0)
		Expect(x.answerTo(id).state).To(Equal("T"))
		Expect(x.query("WRITE k 2").isServed()).To(BeTrue())
		Expect(x.query("COMMIT").isServed()).To(BeTrue())
	}
	// sessionAtStop returns a session over a pipe on which the BEGIN arrives.
	sessionAtStop := func(d *daemon) (s *session, x *caller, id string) {
		near, far := net.Pipe()
		DeferCleanup(near.Close)
		x, id = &caller{c: pipeEnd{near}, r: bufio.NewReader(near)}, nextStatementID()
		s = d.p.newSession(messageAtStop{Conn: far, arrive: func() { x.write("QUERY " + id + " BEGIN\r\n") }})
		return s, x, id
	}
	var d *daemon
	BeforeEach(func() {
		d = newFleet(1).daemons[0]
		d.dial("db-primary").queryUntilServed("WRITE k 1")
	})

	It("is served with its transaction", func() {
		s, x, id := sessionAtStop(d)
		go s.run()
		x.send("STARTUP db-primary me")
		Expect(x.line()).To(Equal("READY I -"))
		expectServed(s, x, id)
	})

	It("is served with its transaction at a home", func() {
		s, x, id := sessionAtStop(d)
		s.fromEntry = true
		go s.runFromEntry()
		_, err := protodelim.MarshalTo(x.c, &reportpb.Hello{Database: "db-primary", Entry: "edge-9"})
		Expect(err).NotTo(HaveOccurred())
		Expect(protodelim.UnmarshalFrom(x.r, &reportpb.Welcome{})).To(Succeed())
		expectServed(s, x, id)
	})
})
