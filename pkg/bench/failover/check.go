package failover

import (
	"fmt"
	"time"

	"limpetspan/core"
	"limpetspan/standin/target"
)

// Check counts broken promises; all must be 0.
type Check struct {
	// LostAcknowledged are acknowledged writes that the last primary lacks.
	LostAcknowledged int `json:"lost_acknowledged"`
	// AcknowledgedByReplaced are acknowledgments that came after a later term
	// had committed a write, of a write that the earlier term committed:
	// either it is in no surviving log, or it had no must-not-repeat key, by
	// which the successor could have found it.
	AcknowledgedByReplaced int `json:"acknowledged_by_replaced"`
	// Doubled are writes that stand more than once in the last primary's log.
	Doubled int `json:"doubled"`
	// Broken tells of the first few, for the search of the cause.
	Broken []string `json:"broken,omitempty"`
}

// maxBroken bounds the list of broken promises.
const maxBroken = 20

// acknowledgment of a write.
type acknowledgment struct {
	id     string
	caller int
	at     time.Time
	// once: the write had a must-not-repeat key.
	once bool
}

// idOf returns the write's id if the statement is one of the bench.
func idOf(s target.Statement) (string, bool) {
	if len(s.Args) != writeArgs {
		return "", false
	}
	id, ok := s.Args[0].(string)
	return id, ok && isWrite(s.SQL)
}

// commits returns the records of each write.
func commits(records []*target.Record) map[string][]*target.Record {
	found := map[string][]*target.Record{}
	for _, r := range records {
		for _, s := range r.Statements {
			if id, ok := idOf(s); ok {
				found[id] = append(found[id], r)
			}
		}
	}
	return found
}

// firstOf returns when each term committed its first record.
func firstOf(journal []*target.Record) map[core.Term]time.Time {
	first := map[core.Term]time.Time{}
	for _, r := range journal {
		if _, ok := first[r.Term]; !ok {
			first[r.Term] = r.At
		}
	}
	return first
}

// check compares the acknowledgments with the journal of all commits and the
// last primary's log.
func check(acks []acknowledgment, journal, log []*target.Record) Check {
	var c Check
	surviving, all, first := commits(log), commits(journal), firstOf(journal)
	for id, records := range surviving {
		if len(records) > 1 {
			c.Doubled++
			c.tell("doubled %s in terms %d and %d", id, records[0].Term, records[1].Term)
		}
	}
	for _, ack := range acks {
		held := len(surviving[ack.id]) > 0
		if !held {
			c.LostAcknowledged++
			c.tell("lost %s acknowledged at %s, commits: %s", ack.id, ack.at.Format(time.RFC3339Nano), describe(all[ack.id]))
		}
		if held && ack.once {
			continue
		}
		if later, ok := replacedBefore(ack, all[ack.id], first); ok {
			c.AcknowledgedByReplaced++
			c.tell("acknowledged %s at %s, after term %d had served; commits: %s", ack.id, ack.at.Format(time.RFC3339Nano), later, describe(all[ack.id]))
		}
	}
	return c
}

// replacedBefore reports a term above that of the write's last commit which had
// committed a record before the acknowledgment.
func replacedBefore(ack acknowledgment, records []*target.Record, first map[core.Term]time.Time) (core.Term, bool) {
	if len(records) == 0 {
		return 0, false
	}
	last := records[len(records)-1].Term
	for term, at := range first {
		if term > last && at.Before(ack.at) {
			return term, true
		}
	}
	return 0, false
}

func (c *Check) tell(format string, args ...any) {
	if len(c.Broken) < maxBroken {
		c.Broken = append(c.Broken, fmt.Sprintf(format, args...))
	}
}

func describe(records []*target.Record) string {
	if len(records) == 0 {
		return "none"
	}
	text := ""
	for _, r := range records {
		text += fmt.Sprintf("[term %d of %s at %s]", r.Term, r.Primary, r.At.Format(time.RFC3339Nano))
	}
	return text
}
