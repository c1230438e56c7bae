package peer

import (
	"time"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer/peerpb"
)

func positionToProto(p core.Position) *peerpb.Position {
	if p.IsZero() {
		return nil
	}
	return &peerpb.Position{Term: uint64(p.Term), Lsn: uint64(p.LSN)}
}

func positionFromProto(p *peerpb.Position) core.Position {
	return core.Position{Term: core.Term(p.GetTerm()), LSN: core.LSN(p.GetLsn())}
}

func callerToProto(c core.CallerID) *peerpb.CallerID {
	return &peerpb.CallerID{Entry: string(c.Entry), Number: c.Number}
}

func callerFromProto(c *peerpb.CallerID) core.CallerID {
	return core.CallerID{Entry: core.DaemonID(c.GetEntry()), Number: c.GetNumber()}
}

// headerToProto describes the request; the deadline travels as the time left,
// because the clocks of two processes have different origins.
func headerToProto(req *exchange.Request, now core.Time) *peerpb.ExchangeHeader {
	h := &peerpb.ExchangeHeader{
		Caller:         callerToProto(req.Caller),
		Group:          string(req.Group),
		Session:        string(req.Session),
		Kind:           req.Kind,
		Version:        req.Version,
		Key:            req.Key,
		Read:           req.Read,
		MaxStalenessNs: int64(req.MaxStaleness),
		Once:           req.Once,
		TimeoutNs:      int64(req.Deadline.Sub(now)),
		Traceparent:    req.Traceparent,
		TxStatus:       uint32(req.TxStatus),
		Revision:       req.Revision,
		Durable:        req.Durable,
		Floor:          positionToProto(req.Floor),
	}
	for _, p := range req.Prepared {
		h.Prepared = append(h.Prepared, &peerpb.Prepared{Name: p.Name, Parse: p.Parse})
	}
	return h
}

func headerFromProto(h *peerpb.ExchangeHeader, now core.Time) *exchange.Request {
	timeout := time.Duration(h.GetTimeoutNs())
	req := &exchange.Request{
		Caller: callerFromProto(h.GetCaller()),
		Directives: core.Directives{
			Session:      core.SessionID(h.GetSession()),
			Kind:         h.GetKind(),
			Version:      h.GetVersion(),
			Key:          h.GetKey(),
			Read:         h.GetRead(),
			MaxStaleness: time.Duration(h.GetMaxStalenessNs()),
			Once:         h.GetOnce(),
			Timeout:      timeout,
			Traceparent:  h.GetTraceparent(),
		},
		TxStatus: byte(h.GetTxStatus()),
		Group:    core.GroupID(h.GetGroup()),
		Revision: h.GetRevision(),
		Durable:  h.GetDurable(),
		Floor:    positionFromProto(h.GetFloor()),
		Deadline: now.Add(timeout),
	}
	for _, p := range h.GetPrepared() {
		req.Prepared = append(req.Prepared, exchange.Prepared{Name: p.GetName(), Parse: p.GetParse()})
	}
	return req
}

func endToProto(result exchange.Result, err error) *peerpb.ExchangeEnd {
	return &peerpb.ExchangeEnd{
		TxStatus: uint32(result.TxStatus),
		Position: positionToProto(result.Position),
		Hint:     string(result.Hint),
		Error:    errorToProto(err),
	}
}

func endFromProto(end *peerpb.ExchangeEnd, group core.GroupID) (exchange.Result, error) {
	result := exchange.Result{
		TxStatus: byte(end.GetTxStatus()),
		Position: positionFromProto(end.GetPosition()),
		Group:    group,
		Hint:     core.DaemonID(end.GetHint()),
	}
	if end.GetError() == nil {
		return result, nil
	}
	return result, errorFromProto(end.GetError())
}

func errorToProto(err error) *peerpb.Error {
	if err == nil {
		return nil
	}
	e := errs.As(err)
	return &peerpb.Error{
		Kind:         e.Kind.Name(),
		Outcome:      uint32(e.Outcome),
		Step:         e.Step,
		Peer:         e.Peer,
		RetryAfterNs: int64(e.RetryAfter),
		Hint:         string(e.Hint),
		Message:      e.Message(),
	}
}

func errorFromProto(p *peerpb.Error) *errs.Error {
	outcome := core.Outcome(p.GetOutcome())
	if p.GetOutcome() > uint32(core.OutcomeRan) {
		// An outcome of a newer daemon claims nothing here.
		outcome = core.OutcomeUnknown
	}
	e := errs.New(errs.KindByName(p.GetKind()), outcome, p.GetStep(), p.GetPeer(), "%s", p.GetMessage())
	e.RetryAfter = time.Duration(p.GetRetryAfterNs())
	e.Hint = core.DaemonID(p.GetHint())
	return e
}
