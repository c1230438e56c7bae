package daemon

import (
	"context"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/core"
	"limpetspan/pkg/entry"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
	"limpetspan/pkg/takeover"
)

// ownCallers is where the numbers of limpetspan's own requests begin, far from
// those of callers' connections.
const ownCallers = 1 << 62

// databases runs limpetspan's own statements on the primaries, over the path of
// callers' statements; it implements takeover.Databases.
type databases struct {
	entry  *entry.Entry
	self   core.DaemonID
	number atomic.Uint64
}

// Query implements takeover.Databases.
func (b *databases) Query(ctx context.Context, group core.GroupID, s takeover.Statement) ([]takeover.Row, error) {
	return b.run(ctx, group, []takeover.Statement{s}, false)
}

// Apply implements takeover.Databases. Statements up to one Sync are one
// transaction.
func (b *databases) Apply(ctx context.Context, group core.GroupID, list []takeover.Statement) error {
	if len(list) == 0 {
		return nil
	}
	_, err := b.run(ctx, group, list, true)
	return err
}

func (b *databases) run(ctx context.Context, group core.GroupID, list []takeover.Statement, durable bool) ([]takeover.Row, error) {
	messages, err := batch(list)
	if err != nil {
		return nil, err
	}
	caller := core.CallerID{Entry: b.self, Number: ownCallers + b.number.Add(1)}
	req := &exchange.Request{
		Caller:     caller,
		Directives: core.Directives{Session: core.SessionID("limpetspan-" + string(b.self))},
		Messages:   messages, TxStatus: pgframe.StatusIdle, Group: group, Durable: durable,
	}
	var answer ownAnswer
	if _, err := b.entry.Direct(ctx, req, &answer); err != nil {
		return nil, err
	}
	if answer.failure != nil {
		return nil, answer.failure
	}
	return answer.rows, nil
}

// batch encodes the statements up to a Sync.
func batch(list []takeover.Statement) ([]byte, error) {
	var out []byte
	var err error
	add := func(m pgproto3.FrontendMessage) {
		if err == nil {
			out, err = m.Encode(out)
		}
	}
	for _, s := range list {
		bind := &pgproto3.Bind{}
		for _, a := range s.Args {
			if a.Null {
				bind.Parameters = append(bind.Parameters, nil)
			} else {
				bind.Parameters = append(bind.Parameters, []byte(a.Text))
			}
		}
		add(&pgproto3.Parse{Query: s.SQL})
		add(bind)
		add(&pgproto3.Execute{})
	}
	add(&pgproto3.Sync{})
	return out, err
}

// The backend messages that matter here.
const (
	messageDataRow = 'D'
	messageError   = 'E'
)

// ownAnswer takes the rows and the first error of an answer.
type ownAnswer struct {
	rows    []takeover.Row
	failure *takeover.SQLError
}

// Write implements exchange.Writer.
func (a *ownAnswer) Write(messages []byte) (int, error) {
	for rest := messages; len(rest) > 0; {
		m, next, err := pgframe.Split(rest, 0)
		if err != nil || m == nil {
			return 0, err
		}
		rest = next
		switch m.Type() {
		case messageDataRow:
			if err := a.addRow(m.Body()); err != nil {
				return 0, err
			}
		case messageError:
			a.addFailure(m.Body())
		}
	}
	return len(messages), nil
}

func (a *ownAnswer) addRow(body []byte) error {
	var decoded pgproto3.DataRow
	if err := decoded.Decode(body); err != nil {
		return err
	}
	row := make(takeover.Row, len(decoded.Values))
	for i, v := range decoded.Values {
		row[i] = takeover.Value{Text: string(v), Null: v == nil}
	}
	a.rows = append(a.rows, row)
	return nil
}

func (a *ownAnswer) addFailure(body []byte) {
	var decoded pgproto3.ErrorResponse
	if a.failure != nil {
		return
	}
	if err := decoded.Decode(body); err != nil {
		a.failure = &takeover.SQLError{Code: "08P01", Message: err.Error()}
		return
	}
	a.failure = &takeover.SQLError{Code: decoded.Code, Message: decoded.Message}
}
