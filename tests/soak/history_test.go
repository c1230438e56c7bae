package soak

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"limpetspan/platform/standin"
)

// Rules that a history may break.
const (
	mixed   = "MIXED"
	unasked = "UNASKED"
	pinned  = "PINNED"
	refused = "REFUSED"
	stale   = "STALE"
	twice   = "TWICE"
	one     = "ONE"
	lost    = "LOST"
	// atMember are violations that members have reported themselves.
	atMember = "AT MEMBER"
)

// violation is a broken rule.
type violation struct{ rule, text string }

// history is what callers and members have seen.
type history struct {
	exchanges []exchange
	writes    []write
	runs      []standin.Run
	// commits are all writes that took effect, log is the log of the primary.
	commits []standin.TimedCommit
	log     []standin.Commit
	// termStarts holds the time at which each term began.
	termStarts map[uint64]time.Time
	orders     []standin.PromoteRequest
	// members are the violations that members have reported.
	members []string
}

// violations checks the history against all rules.
func (h *history) violations() (list []violation) {
	for _, text := range h.members {
		list = append(list, violation{atMember, text})
	}
	for _, check := range []func() []violation{h.mixed, h.unasked, h.pinned, h.kept, h.stale, h.promoted} {
		list = append(list, check()...)
	}
	return list
}

// mixed finds successes without the receipt and the rows that a member gave for the statement.
func (h *history) mixed() (list []violation) {
	given := make(map[string]*standin.Run)
	for i := range h.runs {
		given[h.runs[i].Receipt] = &h.runs[i]
	}
	for i := range h.exchanges {
		e := &h.exchanges[i]
		if !e.runsAtMember() || !e.succeeded() {
			continue
		}
		run := given[e.receipt()]
		switch {
		case run == nil || run.Receipt == "":
			list = append(list, violation{mixed, fmt.Sprintf("%s %q got %q, which no member gave", e.id, e.text, e.end)})
		case run.ID != e.id:
			list = append(list, violation{mixed, fmt.Sprintf("%s %q got %q of another statement", e.id, e.text, e.end)})
		case !slices.Equal(run.Rows, e.rows):
			list = append(list, violation{mixed, fmt.Sprintf("%s %q got the rows %q, and the member gave %q", e.id, e.text, e.rows, run.Rows)})
		}
	}
	return list
}

// byID returns the exchanges by their ids.
func (h *history) byID() map[string]*exchange {
	sent := make(map[string]*exchange, len(h.exchanges))
	for i := range h.exchanges {
		sent[h.exchanges[i].id] = &h.exchanges[i]
	}
	return sent
}

// unasked finds runs of statements that no caller sent, or with another text.
func (h *history) unasked() (list []violation) {
	sent := h.byID()
	for _, run := range h.runs {
		switch e := sent[run.ID]; {
		case e == nil:
			list = append(list, violation{unasked, fmt.Sprintf("%s ran %s %q, which no caller sent", run.Member, run.ID, run.Text)})
		case !isSameText(e.text, run.Text):
			list = append(list, violation{unasked, fmt.Sprintf("%s ran %s %q, and the caller sent %q", run.Member, run.ID, run.Text, e.text)})
		}
	}
	return list
}

// isSameText reports whether the texts differ at most in the name of a prepared statement.
func isSameText(sent, ran string) bool {
	a, ok1 := strings.CutPrefix(sent, "EXECUTE ")
	b, ok2 := strings.CutPrefix(ran, "EXECUTE ")
	if !ok1 || !ok2 {
		return sent == ran
	}
	_, a, _ = strings.Cut(a, " ")
	_, b, _ = strings.Cut(b, " ")
	return a == b
}

// pinned finds runs with other values, another prepared statement or another state of the transaction
// than the session was told it has.
func (h *history) pinned() (list []violation) {
	sent := h.byID()
	for _, run := range h.runs {
		e := sent[run.ID]
		if e == nil {
			continue
		}
		if !maps.Equal(run.Values, e.values) {
			list = append(list, violation{pinned, fmt.Sprintf("%s %q ran with the values %q, and its session has %q", run.ID, run.Text, run.Values, e.values)})
		}
		if run.InTransaction != e.inTransaction {
			list = append(list, violation{pinned, fmt.Sprintf("%s %q ran inside a transaction: %v, and its session has one: %v", run.ID, run.Text, run.InTransaction, e.inTransaction)})
		}
		if strings.HasPrefix(e.text, "EXECUTE ") && run.Definition != e.definition {
			list = append(list, violation{pinned, fmt.Sprintf("%s %q ran %q, and its session has prepared %q", run.ID, run.Text, run.Definition, e.definition)})
		}
	}
	for i := range h.exchanges {
		if e := &h.exchanges[i]; e.definition != "" && strings.HasPrefix(e.end, "ERROR NOSUCHSTMT") {
			list = append(list, violation{pinned, fmt.Sprintf("%s %q got %q, and its session has prepared %q", e.id, e.text, e.end, e.definition)})
		}
	}
	return list
}

// kept finds writes that took effect otherwise than their callers were told.
func (h *history) kept() (list []violation) {
	commits := make(map[string][]standin.TimedCommit)
	for _, c := range h.commits {
		commits[c.ID] = append(commits[c.ID], c)
	}
	for _, id := range slices.Sorted(maps.Keys(commits)) {
		if n := len(commits[id]); n > 1 {
			list = append(list, violation{twice, fmt.Sprintf("write %s took effect %d times", id, n)})
		}
	}
	for _, w := range h.writes {
		list = append(list, checkWrite(w, commits[w.id], h.termStarts)...)
	}
	return list
}

func checkWrite(w write, commits []standin.TimedCommit, promotions map[uint64]time.Time) []violation {
	switch {
	case w.verdict == notRun && len(commits) > 0:
		return []violation{{refused, fmt.Sprintf("write %s %q was told as not run and took effect at %s", w.id, w.data, commits[0].Member)}}
	case w.verdict == acknowledged && len(commits) == 0:
		return []violation{{lost, fmt.Sprintf("write %s %q was acknowledged and never took effect", w.id, w.data)}}
	case w.verdict == acknowledged && commits[0].Data != w.data:
		return []violation{{unasked, fmt.Sprintf("write %s %q was acknowledged and took effect as %q", w.id, w.data, commits[0].Data)}}
	case w.verdict == acknowledged:
		if began, ok := promotions[commits[0].Term+1]; ok && commits[0].At.After(began) {
			return []violation{{one, fmt.Sprintf("write %s was acknowledged %v after its primary was replaced", w.id, commits[0].At.Sub(began))}}
		}
	}
	return nil
}

// mark is the log position of the newest write that had been acknowledged at a time.
type mark struct {
	at           time.Time
	term, number uint64
}

func (m mark) isBefore(term, number uint64) bool {
	return m.term < term || m.term == term && m.number < number
}

// marks returns the positions of acknowledged writes in the order of their acknowledgement. Writes
// that a promotion rolled back are not in the log and do not count.
func (h *history) marks() (list []mark) {
	log := make(map[string]standin.Commit, len(h.log))
	for _, c := range h.log {
		log[c.ID] = c
	}
	for _, w := range h.writes {
		if c, ok := log[w.id]; ok && w.verdict == acknowledged {
			list = append(list, mark{w.answered, c.Term, c.Number})
		}
	}
	slices.SortFunc(list, func(a, b mark) int { return a.at.Compare(b.at) })
	for i := 1; i < len(list); i++ {
		if list[i].isBefore(list[i-1].term, list[i-1].number) {
			list[i].term, list[i].number = list[i-1].term, list[i-1].number
		}
	}
	return list
}

// stale finds reads on db-primary that ran on a log without a write which was acknowledged before they
// began.
func (h *history) stale() (list []violation) {
	marks, sent := h.marks(), h.byID()
	for _, run := range h.runs {
		e := sent[run.ID]
		if e == nil || e.database != primaryDatabase || !e.reads() || e.receipt() != run.Receipt {
			continue
		}
		n := sort.Search(len(marks), func(i int) bool { return !marks[i].at.Before(e.began) })
		if n == 0 {
			continue
		}
		if m := marks[n-1]; (mark{term: run.Term, number: run.Number}).isBefore(m.term, m.number) {
			list = append(list, violation{stale, fmt.Sprintf("%s %q ran at %s on %d.%d, and %d.%d had been acknowledged", run.ID, run.Text, run.Member, run.Term, run.Number, m.term, m.number)})
		}
	}
	return list
}

// promoted finds promotion requests with fences that do not rise.
func (h *history) promoted() (list []violation) {
	for i := 1; i < len(h.orders); i++ {
		last, next := h.orders[i-1], h.orders[i]
		if next.Token < last.Token || next.Token == last.Token && next.Holder != last.Holder {
			list = append(list, violation{one, fmt.Sprintf("order %+v came after %+v", next, last)})
		}
	}
	return list
}

// maxShown bounds the violations of each rule in the message of a failed spec.
const maxShown = 4

// describe counts the violations by rule and shows the first of each.
func describe(list []violation) string {
	byRule := make(map[string][]string)
	for _, v := range list {
		byRule[v.rule] = append(byRule[v.rule], v.text)
	}
	var b strings.Builder
	for _, rule := range slices.Sorted(maps.Keys(byRule)) {
		texts := byRule[rule]
		fmt.Fprintf(&b, "%s: %d\n", rule, len(texts))
		for _, text := range texts[:min(maxShown, len(texts))] {
			fmt.Fprintf(&b, "  %.300s\n", text)
		}
	}
	return b.String()
}
