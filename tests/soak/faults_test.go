package soak

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"limpetspan/platform/standin"
)

// faultNames are the faults by their number.
var faultNames = [...]string{"daemon killed", "daemon stops", "daemon paused", "settings read again", "all daemons killed",
	"connections reset", "connections silenced", "cut", "delay", "member silent", "member silent", "store away",
	"answers lost", "configuration and compaction", "answers repeated", "refusals repeated", "answers to the proxy repeated",
	"answers to startup repeated", "unsolicited answers", "answers cut"}

// answerFault is the number of the first fault of answers.
const answerFault = 14

// fault injects one fault and returns how to end it.
func (w *world) fault() (heal func()) {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	r := w.relays[w.random.IntN(len(w.relays))]
	m := w.group.Members()[w.random.IntN(3)]
	none := func() {}
	kind := w.random.IntN(answerFault)
	w.note("fault %d", kind)
	w.recorder.Fault(faultNames[kind])
	switch kind {
	case 0:
		d.signal(syscall.SIGKILL)
	case 1:
		d.signal(syscall.SIGTERM)
	case 2:
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }
	case 3:
		d.signal(syscall.SIGHUP)
	case 4:
		for _, d := range w.daemons {
			d.signal(syscall.SIGKILL)
		}
	case 5:
		r.resetAll()
	case 6:
		r.silence()
	case 7:
		r.cutOff(w.random.IntN(2))
		return r.heal
	case 8:
		r.setDelay(time.Duration(w.random.IntN(60)) * time.Millisecond)
		return r.heal
	case 9, 10:
		if p := w.group.Primary(); p != nil {
			m = p
		}
		m.SetUnresponsive(true)
		return func() { m.SetUnresponsive(false) }
	case 11:
		w.store.SetDown(true)
		return func() { w.store.SetDown(false) }
	case 12:
		w.store.DropWriteAnswers(1)
		m.DropAnswers(1 + w.random.IntN(5))
	case 13:
		if err := w.configure(); err != nil {
			w.note("configuration not written: %v", err)
		}
		w.store.Compact()
	}
	return none
}

// faults come in series and overlap, for about the time given.
func (w *world) faults(d time.Duration) {
	end := time.Now().Add(d)
	var heals, answerHeals []func()
	for time.Now().Before(end) {
		heals = append(heals, w.fault())
		if w.answerRandom.IntN(2) == 0 {
			answerHeals = append(answerHeals, w.answerFault())
		}
		time.Sleep(time.Duration(100+w.random.IntN(1200)) * time.Millisecond)
		if len(heals) > 2 || w.random.IntN(2) == 0 {
			heals[0]()
			w.recorder.Fault("end of a fault")
			heals = heals[1:]
		}
		if len(answerHeals) > 0 && w.answerRandom.IntN(2) == 0 {
			answerHeals[0]()
			answerHeals = answerHeals[1:]
		}
	}
	for _, heal := range append(heals, answerHeals...) {
		heal()
	}
}

// answerFault injects one fault of answers at a member, or at all, and returns how to end it.
func (w *world) answerFault() (heal func()) {
	members := w.group.Members()
	if w.answerRandom.IntN(2) == 0 {
		n := w.answerRandom.IntN(len(members))
		members = members[n : n+1]
	}
	kind := answerFault + w.answerRandom.IntN(len(faultNames)-answerFault)
	w.note("fault %d", kind)
	w.recorder.Fault(faultNames[kind])
	for _, m := range members {
		switch kind {
		case 14:
			w.repeatOneIn(m, 3+w.answerRandom.IntN(10), anyRepeat, isCallers)
		case 15:
			w.refuseOneIn(m, 10)
			w.repeatOneIn(m, 1, anyRepeat, isBusy)
		case 16:
			w.repeatOneIn(m, 3, anyRepeat, isProxys)
		case 17:
			w.repeatStartups(m, 3)
		case 18:
			m.SendUnsolicited(unsolicited[w.answerRandom.IntN(len(unsolicited))])
		case 19:
			m.CutAnswers(1 + w.answerRandom.IntN(5))
		}
	}
	return func() {
		for _, m := range members {
			m.RefuseWith(nil)
			m.RepeatAnswers(nil)
			m.RepeatStartups(nil)
		}
	}
}

// unsolicited are answers that answer no statement of a caller.
var unsolicited = []string{"READY I 1.0\r\n", "COMPLETE -\r\nREADY I 1.0\r\n"}

// anyRepeat draws all kinds of repeats; lateRepeat draws only late ones.
var (
	anyRepeat  = []standin.Repeat{standin.RepeatAtOnce, standin.RepeatBeforeNext, standin.RepeatLate}
	lateRepeat = []standin.Repeat{standin.RepeatLate}
)

func isAny(string, string, string) bool { return true }
func isCallers(id, _, _ string) bool    { return id != "-" }
func isProxys(id, _, _ string) bool     { return id == "-" }
func isBusy(_, _, answer string) bool   { return strings.HasPrefix(answer, "ERROR BUSY") }
func isStatusOrPause(id, text, _ string) bool {
	return id == "-" && (strings.HasPrefix(text, "STATUS") || strings.HasPrefix(text, "PAUSE"))
}

// repeatOneIn repeats one in n of the answers for which applies holds.
func (w *world) repeatOneIn(m *standin.Member, n int, kinds []standin.Repeat, applies func(id, text, answer string) bool) {
	random := w.newRandom()
	m.RepeatAnswers(func(id, text, answer string) standin.Repeat {
		if !applies(id, text, answer) || random.IntN(n) != 0 {
			return standin.NoRepeat
		}
		return kinds[random.IntN(len(kinds))]
	})
}

// repeatStartups repeats one in n answers to STARTUP.
func (w *world) repeatStartups(m *standin.Member, n int) {
	random := w.newRandom()
	m.RepeatStartups(func(string) standin.Repeat {
		if random.IntN(n) != 0 {
			return standin.NoRepeat
		}
		return anyRepeat[random.IntN(len(anyRepeat))]
	})
}

// refuseOneIn refuses one in n statements of callers as busy.
func (w *world) refuseOneIn(m *standin.Member, n int) {
	random := w.newRandom()
	m.RefuseWith(func(id, _ string) string {
		if id == "-" || random.IntN(n) != 0 {
			return ""
		}
		return "BUSY"
	})
}

// newRandom returns a source that the members use while faults are drawn.
func (w *world) newRandom() *rand.Rand { return rand.New(rand.NewPCG(w.answerRandom.Uint64(), 0)) }
