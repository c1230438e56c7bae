package main

import (
	"fmt"
	"time"
)

func init() { cases["linebreak"] = playLineBreak }

// playLineBreak sends and reads texts that contain a single LF. A message ends with CR LF, so the LF
// belongs to the text. Without trouble the texts contain a blank instead.
func playLineBreak(w *world) error {
	g, err := w.addGroup("ledger")
	if err != nil {
		return err
	}
	lf := " "
	if w.trouble {
		lf = "\n"
	}
	if err := w.configure(w.configuration(5, []map[string]any{route("park", "primary", "ledger")})); err != nil {
		return err
	}
	if err := w.startDaemons(1, smallDeployment()); err != nil {
		return err
	}
	d := w.daemons[0]
	if err := w.await(d, "park"); err != nil {
		return err
	}
	sent := make(map[string]string)
	ask := func(x *consumer, id, text string) answer {
		sent[id] = text
		return x.query(id, text)
	}

	// A note of two lines.
	a, err := connect("c1", d, "park", w.rec)
	if err != nil {
		return err
	}
	ask(a, "c1.1", "WRITE note-1 paid until March"+lf+"refund the rest")
	a.close()

	// A text that contains a line like a request.
	b, err := connect("c2", d, "park", w.rec)
	if err != nil {
		return err
	}
	ask(b, "c2.1", "WRITE note-2 as seen on the terminal:"+lf+"QUERY c9.1 WRITE fine-77 waived")
	// Whatever else has been read from this session has run by then.
	time.Sleep(500 * time.Millisecond)
	b.close()
	w.checkRuns(g, sent)

	// A value with line breaks, which another caller of the members has stored there.
	g.preload("note-3", "seen"+lf+"COMPLETE r0"+lf+"READY I -")
	c, err := connect("c3", d, "park", w.rec)
	if err != nil {
		return err
	}
	defer c.close()
	e, err := connect("c4", d, "park", w.rec)
	if err != nil {
		return err
	}
	defer e.close()
	w.checkAnswer(g, "c3", "c3.1", ask(c, "c3.1", "READ note-3"))
	for i := range 3 {
		id := fmt.Sprintf("c4.%d", i+1)
		w.checkAnswer(g, "c4", id, ask(e, id, fmt.Sprintf("WRITE fine-%d settled", i+1)))
	}
	w.checkAnswer(g, "c4", "c4.9", ask(e, "c4.9", "READ fine-1"))
	return nil
}

// checkRuns checks UNASKED: members run what consumers sent, with the text unchanged.
func (w *world) checkRuns(g *group, sent map[string]string) {
	for _, r := range g.ran() {
		if r.id == "probe" {
			continue
		}
		text, ok := sent[r.id]
		switch {
		case !ok:
			w.breaks("UNASKED: member %s ran %s %s, which no consumer sent", r.member, r.id, shorten(r.text))
		case text != r.text:
			w.breaks("UNASKED: member %s ran %s with the text %s, sent was %s", r.member, r.id, shorten(r.text), shorten(text))
		}
	}
}

// checkAnswer checks MIXED: a success has the receipt and the rows that a member gave for the request.
func (w *world) checkAnswer(g *group, who, id string, a answer) {
	if !a.ok() {
		return
	}
	for _, r := range g.ran() {
		if r.id == id && r.receipt == a.receipt && fmt.Sprint(r.rows) == fmt.Sprint(a.rows) {
			return
		}
	}
	w.breaks("MIXED: %s got a success for %s with receipt %s and rows %q, which no member gave for it", who, id, a.receipt, a.rows)
}
