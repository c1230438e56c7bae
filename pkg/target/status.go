package target

import (
	"fmt"
	"strconv"
	"strings"

	"limpetspan/core"
)

// The numbers of columns of StatusSQL and PositionSQL.
const (
	statusColumns   = 7
	positionColumns = 2
)

// parseStatus reads one row of StatusSQL.
func parseStatus(row [][]byte) (core.Status, error) {
	if len(row) != statusColumns {
		return core.Status{}, fmt.Errorf("target status: %d columns, want %d", len(row), statusColumns)
	}
	p := &columnParser{}
	status := core.Status{
		Term:        core.Term(p.number("term", row[0])),
		Role:        core.ParseRole(string(row[1])),
		LSN:         core.LSN(p.number("lsn", row[2])),
		LogTerm:     core.Term(p.number("log_term", row[3])),
		History:     p.history(row[4]),
		Connections: int(p.number("connections", row[5])),
		Leaving:     string(row[6]) == "t",
	}
	return status, p.err
}

// parsePosition reads one row of PositionSQL.
func parsePosition(row [][]byte) (core.Position, error) {
	if len(row) != positionColumns {
		return core.Position{}, fmt.Errorf("target position: %d columns, want %d", len(row), positionColumns)
	}
	p := &columnParser{}
	position := core.Position{
		Term: core.Term(p.number("log_term", row[0])),
		LSN:  core.LSN(p.number("lsn", row[1])),
	}
	return position, p.err
}

// columnParser keeps the first error.
type columnParser struct{ err error }

func (p *columnParser) number(column string, text []byte) uint64 {
	n, err := strconv.ParseUint(string(text), 10, 64)
	p.fail(column, err)
	return n
}

// history reads "term:start,term:start".
func (p *columnParser) history(text []byte) []core.TermStart {
	if len(text) == 0 {
		return nil
	}
	var starts []core.TermStart
	for entry := range strings.SplitSeq(string(text), ",") {
		term, start, _ := strings.Cut(entry, ":")
		starts = append(starts, core.TermStart{
			Term:  core.Term(p.number("history", []byte(term))),
			Start: core.LSN(p.number("history", []byte(start))),
		})
	}
	return starts
}

func (p *columnParser) fail(column string, err error) {
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("target column %s: %w", column, err)
	}
}
