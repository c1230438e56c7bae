package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// maxNames bounds the values, and the prepared statements, of a session.
const maxNames = 4

// operation does one of the things that callers do.
func (x *caller) operation() {
	switch x.random.IntN(8) {
	case 0, 1:
		x.transaction()
	case 2:
		if len(x.values) < maxNames {
			x.set("v"+x.texts.field(), x.texts.text())
			return
		}
		x.single()
	case 3:
		x.prepareOrDrop()
	case 4:
		x.execute()
	default:
		x.single()
	}
}

// data returns data for a write that no other write has.
func (x *caller) data() string { return fmt.Sprintf("%s-%d-%s", x.name, x.next, x.texts.text()) }

// item returns the name of an item that only this caller writes.
func (x *caller) item(kind string) string { return kind + "-" + x.name }

// single writes an item of its own and reads it back.
func (x *caller) single() {
	x.writeAndRead("WRITE ", "READ ")
}

// execute is single with the session's prepared statements.
func (x *caller) execute() {
	writing, reading := x.preparedName("WRITE"), x.preparedName("READ")
	if writing == "" || reading == "" {
		x.prepare("w"+x.texts.field(), "WRITE")
		x.prepare("r"+x.texts.field(), "READ")
		return
	}
	x.writeAndRead("EXECUTE "+writing+" ", "EXECUTE "+reading+" ")
}

// writeAndRead writes an item and reads it back, with the given beginnings of both texts.
func (x *caller) writeAndRead(writing, reading string) {
	promotions, data, item := x.promoted(), x.data(), x.item("key")
	a := x.query(writing + item + " " + data)
	x.note(a.id, data, &a)
	if !a.succeeded() {
		return
	}
	b := x.query(reading + item)
	if b.succeeded() && b.row() != data && x.promoted() == promotions && !x.isUnknown(b.row()) {
		x.fail(stale, "%s wrote %q (%s) and then read %q (%s)", x.name, data, a.end, b.row(), b.end)
	}
}

// isUnknown reports whether the write's outcome is unknown. Such a write may take
// effect after later ones: its bytes can wait at a silent member whose peer was
// killed, which ends the connection without taking them back.
func (x *caller) isUnknown(data string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.ContainsFunc(x.writes, func(w write) bool { return w.data == data && w.verdict == unknown })
}

// preparedName returns a prepared statement of the session with the mode, "" if there is none.
func (x *caller) preparedName(mode string) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(x.prepared)) {
		if x.prepared[name][:len(mode)] == mode {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[x.random.IntN(len(names))]
}

// prepareOrDrop prepares a statement, or drops one if the session has as many as it may have.
func (x *caller) prepareOrDrop() {
	if len(x.prepared) < maxNames {
		x.prepare("p"+x.texts.field(), []string{"READ", "WRITE"}[x.random.IntN(2)])
		return
	}
	name := slices.Sorted(maps.Keys(x.prepared))[x.random.IntN(len(x.prepared))]
	if x.change("DEALLOCATE " + name) {
		x.prepared = maps.Clone(x.prepared)
		delete(x.prepared, name)
	}
}

func (x *caller) prepare(name, mode string) {
	definition := mode + " " + x.texts.text()
	if x.c == nil || !x.change("PREPARE "+name+" "+definition) {
		return
	}
	x.prepared = maps.Clone(x.prepared)
	if x.prepared == nil {
		x.prepared = make(map[string]string)
	}
	x.prepared[name] = definition
}

// transaction writes twice, with a pause, and commits or rolls back.
func (x *caller) transaction() {
	began := time.Now()
	if a := x.query("BEGIN"); !a.succeeded() {
		x.leave(&a)
		return
	}
	x.txBegan = began
	defer func() { x.txBegan = time.Time{} }()
	data, item := [2]string{x.data() + "a", x.data() + "b"}, x.item("tx")
	first := x.query("WRITE " + item + " " + data[0])
	if !first.succeeded() {
		x.note(first.id, data[0], &first)
		x.leave(&first)
		return
	}
	time.Sleep(time.Duration(x.random.IntN(30)) * time.Millisecond)
	if read := x.query("READ " + item); !read.succeeded() {
		x.record(first.id, data[0], notRun)
		x.leave(&read)
		return
	}
	second := x.query("WRITE " + item + " " + data[1])
	if !second.succeeded() || x.random.IntN(4) == 0 {
		// Without a commit nothing is kept, whatever was answered.
		x.record(first.id, data[0], notRun)
		x.record(second.id, data[1], notRun)
		x.leave(&second)
		return
	}
	done := x.query("COMMIT")
	x.note(first.id, data[0], &done)
	x.note(second.id, data[1], &done)
	x.leave(&done)
}

// leave ends what is open; a session that is not at rest then is closed.
func (x *caller) leave(e *exchange) {
	if e.ok && e.state != 'I' {
		after := x.query("ROLLBACK")
		e = &after
	}
	if !e.ok || e.state != 'I' {
		x.hangUp()
	}
}

// note keeps what the answer says about a write.
func (x *caller) note(id, data string, e *exchange) {
	switch {
	case e.succeeded():
		x.record(id, data, acknowledged)
	case e.promised():
		x.record(id, data, notRun)
	default:
		x.record(id, data, unknown)
	}
}

func (x *caller) record(id, data string, v verdict) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writes = append(x.writes, write{id, data, v, time.Now()})
	if v == acknowledged {
		x.served++
	}
}
