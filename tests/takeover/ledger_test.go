package takeover_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
)

// outcome is what a caller knows of its statement.
type outcome int

// The outcomes.
const (
	acknowledged outcome = iota
	notRun
	unknown
)

// codeUnique answers the repetition of a must-not-repeat key.
const codeUnique = "23505"

// outcomeOf reads the outcome off an error.
func outcomeOf(err error) outcome {
	if err == nil {
		return acknowledged
	}
	if refusal, ok := errors.AsType[*pgconn.PgError](err); ok {
		switch {
		case strings.Contains(refusal.Detail, "outcome=not_run"):
			return notRun
		case strings.Contains(refusal.Detail, "outcome=ran"):
			return acknowledged
		}
		return unknown
	}
	// The library also says so of a connection that broke behind the statement,
	// when it reads on after the end. Callers here use no closed connection.
	if errors.Is(err, pgconn.ErrConnClosed) {
		return unknown
	}
	if _, ok := errors.AsType[*pgconn.ConnectError](err); ok || pgconn.SafeToRetry(err) {
		return notRun
	}
	return unknown
}

func describe(err error) string {
	if refusal, ok := errors.AsType[*pgconn.PgError](err); ok {
		return fmt.Sprintf("%s %s (%s)", refusal.Code, refusal.Message, refusal.Detail)
	}
	return err.Error()
}

// write names a write: the record and the number that it sets.
type write struct {
	key string
	n   int64
}

// sql is the caller's statement. It changes nothing after a later write, as one
// whose outcome is not known may come late.
func (w write) sql(directives ...string) string {
	said := strings.Join(append([]string{fmt.Sprintf("kind='%s',key='%s'", kind, w.key)}, directives...), ",")
	return fmt.Sprintf("/*%s*/ UPDATE lot SET n = %d, changed = (SELECT max(changed) FROM lot) + 1 WHERE id = '%s' AND n < %d",
		said, w.n, w.key, w.n)
}

// ledger holds what callers were told of each write.
type ledger struct {
	mu     sync.Mutex
	writes map[write]outcome
	// last is the highest number acknowledged of each record.
	last map[string]int64
	// charges are the must-not-repeat keys that ran, by record.
	charges map[string][]string
	// violations are broken promises, errors the failures that callers saw.
	violations, errors []string
	reads              int
}

func newLedger() *ledger {
	return &ledger{writes: make(map[write]outcome), last: make(map[string]int64), charges: make(map[string][]string)}
}

func (l *ledger) wrote(w write, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes[w] = o
	if o == acknowledged {
		l.last[w.key] = max(l.last[w.key], w.n)
	}
}

func (l *ledger) charged(key, once string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charges[key] = append(l.charges[key], once)
}

func (l *ledger) failed(what string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors = append(l.errors, what+": "+describe(err))
}

func (l *ledger) violated(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *ledger) noteRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
}

// acknowledgedWrites counts the writes that callers were told of as done.
func (l *ledger) acknowledgedWrites() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, o := range l.writes {
		if o == acknowledged {
			n++
		}
	}
	return n
}

// compare notes where the records on their owning side differ from what
// callers were told, and where a write ran elsewhere or more than once.
func (l *ledger) compare(owned map[string]record, ran map[write]int) {
	if len(owned) != records {
		l.violated("the owning sides hold %d records of %d", len(owned), records)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	add := func(format string, args ...any) { l.violations = append(l.violations, fmt.Sprintf(format, args...)) }
	for key, r := range owned {
		if r.n < l.last[key] {
			add("%s holds %d, acknowledged is %d", key, r.n, l.last[key])
		}
		if o, ok := l.writes[write{key, r.n}]; r.n != 0 && (!ok || o == notRun) {
			add("%s holds %d, which did not run", key, r.n)
		}
		if want := int64(len(l.charges[key])); r.charges != want {
			add("%s was charged %d times, %d keys ran: %v", key, r.charges, want, l.charges[key])
		}
	}
	for w, o := range l.writes {
		switch times := ran[w]; {
		case o == acknowledged && times != 1:
			add("%v was acknowledged and ran %d times", w, times)
		case o == notRun && times != 0:
			add("%v was reported as not run and ran %d times", w, times)
		case times > 1:
			add("%v ran %d times", w, times)
		}
	}
}
