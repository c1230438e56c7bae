package main

func init() { cases["shape"] = playShape }

// playShape prepares a shape that contains blanks. The shape is the last field of PREPARE, so it
// extends to the end of the line. Without trouble the shape contains hyphens instead.
func playShape(w *world) error {
	g, err := w.addGroup("ledger")
	if err != nil {
		return err
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
	shape := "fees-READ-open"
	if w.trouble {
		shape = "fees READ open"
	}
	a, err := connect("c1", d, "park", w.rec)
	if err != nil {
		return err
	}
	defer a.close()
	b, err := connect("c2", d, "park", w.rec)
	if err != nil {
		return err
	}
	defer b.close()

	// c2 prepares and runs the shape "fees".
	b.query("c2.1", "PREPARE s1 WRITE fees")
	w.checkExecuted(g, "c2", "c2.2", "fees", b.query("c2.2", "EXECUTE s1 bike-1 settled"))
	// c1 prepares and runs a shape that begins with the same word.
	a.query("c1.1", "PREPARE s1 WRITE "+shape)
	w.checkExecuted(g, "c1", "c1.2", shape, a.query("c1.2", "EXECUTE s1 bike-2 settled"))
	// c2 runs its own statement again.
	w.checkExecuted(g, "c2", "c2.3", "fees", b.query("c2.3", "EXECUTE s1 bike-3 settled"))
	if x := b.query("c2.4", "READ bike-3"); x.ok() && len(x.rows) == 1 && x.rows[0] == "none" {
		w.rec.note("the write that c2 was told has succeeded is not there")
	}
	return nil
}

// checkExecuted checks PINNED: if the answer is a success, the member has run the shape that the
// consumer prepared, as a write.
func (w *world) checkExecuted(g *group, who, id, shape string, a answer) {
	if !a.ok() {
		return
	}
	for _, r := range g.ran() {
		if r.id == id && (r.shape != shape || !r.write) {
			w.breaks("PINNED: %s ran shape %q (write: %v) for %s, which has prepared WRITE %q, and it was answered as a success", id, r.shape, r.write, who, shape)
		}
	}
}
