package target

import (
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/standin/target/internal/engine"
)

// recordOverhead is the log space of a record and of each statement besides
// its text and parameters, in bytes.
const recordOverhead = 24

// Statement is one statement of a committed transaction.
type Statement struct {
	// SQL as the client sent it.
	SQL string
	// Args are the parameters: nil, int64, float64, string or []byte.
	Args []any

	rewritten string
	values    []engine.Value
	// schema: the statement changes the schema.
	schema bool
}

// Record is one committed write transaction. It is immutable and shared by the
// logs of all members that hold it.
type Record struct {
	// LSN is the log offset behind the record.
	LSN  core.LSN
	Term core.Term
	// Primary is the member that committed it.
	Primary    core.MemberID
	At         time.Time
	Statements []Statement
}

// Position returns the log position behind the record.
func (r *Record) Position() core.Position { return core.Position{Term: r.Term, LSN: r.LSN} }

func size(statements []Statement) core.LSN {
	n := recordOverhead
	for i := range statements {
		n += recordOverhead + len(statements[i].SQL)
		for _, v := range statements[i].values {
			n += recordOverhead + len(v.Bytes)
		}
	}
	return core.LSN(n)
}

// export returns the parameters as ordinary Go values.
func export(values []engine.Value) []any {
	if len(values) == 0 {
		return nil
	}
	args := make([]any, len(values))
	for i, v := range values {
		switch v.Kind {
		case engine.Int:
			args[i] = v.Int
		case engine.Float:
			args[i] = v.Float
		case engine.Text:
			args[i] = string(v.Bytes)
		case engine.Blob:
			args[i] = v.Bytes
		}
	}
	return args
}

// Journal holds every transaction that any primary committed, also those that
// a later term lost. Checkers compare it with what callers were told.
type Journal struct {
	mu      sync.Mutex
	records []*Record
}

func (j *Journal) add(r *Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, r)
}

// Records returns the committed transactions in the order of their commit.
func (j *Journal) Records() []*Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*Record(nil), j.records...)
}

func (j *Journal) len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.records)
}

// Match returns the records with a statement for which match holds, such as
// all commits of one key: more than one means that it was applied repeatedly,
// Primary and Term say by whom.
func (j *Journal) Match(match func(Statement) bool) []*Record {
	var found []*Record
	for _, r := range j.Records() {
		for _, s := range r.Statements {
			if match(s) {
				found = append(found, r)
				break
			}
		}
	}
	return found
}
