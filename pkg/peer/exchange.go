package peer

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer/peerpb"
)

const (
	// answerGrace is how much longer than the deadline an answer is awaited:
	// the home reports the deadline itself, with an exact outcome.
	answerGrace = 500 * time.Millisecond
	// attempts on a connection that turns out dead before anything is sent.
	attempts = 2
)

// errUnexpectedFrame is the failure of a frame that does not belong there.
var errUnexpectedFrame = errors.New("unexpected frame")

// Exchange runs the request at the daemon at addr and passes its answer to w.
// A failure is an *errs.Error: its outcome is "not run" exactly when the
// request cannot have reached the daemon completely.
func (c *Client) Exchange(ctx context.Context, addr string, req *exchange.Request, w exchange.Writer) (exchange.Result, error) {
	var err error
	for range attempts {
		var result exchange.Result
		var stale bool
		result, stale, err = c.exchangeOnce(ctx, addr, req, w)
		if !stale {
			return result, err
		}
	}
	return exchange.Result{}, err
}

// exchangeOnce also reports whether a pooled connection was found dead before
// anything was sent, which is worth another attempt.
func (c *Client) exchangeOnce(ctx context.Context, addr string, req *exchange.Request, w exchange.Writer) (_ exchange.Result, stale bool, _ error) {
	s, x, err := c.stream(ctx, addr, streamExchange)
	if err != nil {
		return exchange.Result{}, false, lost(err, core.OutcomeNotRun, "peer.connect", addr)
	}
	now := c.options.Now()
	release := x.bind(ctx, time.Now().Add(req.Deadline.Sub(now)+answerGrace))
	if err := x.sendRequest(req, now); err != nil {
		outcome := outcomeOfSend(err)
		release(s, false)
		return exchange.Result{}, outcome == core.OutcomeNotRun && s.mux.IsClosed(), lost(err, outcome, "peer.send", addr)
	}
	end, err := x.receive(s, w)
	release(s, err == nil)
	if err != nil {
		return exchange.Result{}, false, c.answerLost(ctx, err, req, addr)
	}
	result, err := endFromProto(end, req.Group)
	c.noteTransaction(s, req.Caller, req.TxStatus, statusAfter(result))
	return result, false, err
}

// statusAfter is the transaction status after an exchange; an error without
// one means that there is no transaction any more.
func statusAfter(result exchange.Result) byte {
	if result.TxStatus == 0 {
		return txIdle
	}
	return result.TxStatus
}

// bind ends the stream's reads and writes at the deadline and as soon as ctx
// ends. The returned function must be called once, and says whether the stream
// is clean. A stream whose deadline ctx may still be about to change is not
// pooled: it would cut off the next request.
func (x *stream) bind(ctx context.Context, deadline time.Time) func(s *session, clean bool) {
	_ = x.SetDeadline(deadline)
	if ctx.Done() == nil {
		return x.release
	}
	stop := context.AfterFunc(ctx, func() { _ = x.SetDeadline(time.Unix(1, 0)) })
	return func(s *session, clean bool) { x.release(s, stop() && clean) }
}

// release pools a clean stream and closes another.
func (x *stream) release(s *session, clean bool) {
	if clean {
		s.put(x)
	} else {
		s.drop(x)
	}
}

// stream takes a stream of the kind, over a fresh connection if the present
// one turns out to be dead.
func (c *Client) stream(ctx context.Context, addr string, kind byte) (*session, *stream, error) {
	var last error
	for range attempts {
		s, err := c.session(ctx, addr)
		if err != nil {
			return nil, nil, err
		}
		x, err := s.take(kind)
		if err == nil {
			return s, x, nil
		}
		last = err
		s.setSuspect(true)
	}
	return nil, nil, last
}

func (x *stream) sendRequest(req *exchange.Request, now core.Time) error {
	header := headerToProto(req, now)
	header.Number = x.number()
	buf, err := appendMessage(x.sendBuf, frameHeader, header)
	if err != nil {
		return errors.Join(errNotSent, err)
	}
	x.sendBuf = appendFrame(buf, frameRun, req.Messages)
	return x.flush()
}

// errNotSent marks a failure to send that left the last frame incomplete.
var errNotSent = errors.New("request not sent completely")

// flush writes the send buffer. The error is errNotSent where the peer cannot
// have received all of it: yamux reports these failures only before it hands
// on the bytes that are left. For every other failure, such as the session's
// end, the bytes may have gone out.
func (x *stream) flush() error {
	_, err := x.Write(x.sendBuf)
	x.sendBuf = x.sendBuf[:0]
	if errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrTimeout) {
		return errors.Join(errNotSent, err)
	}
	return err
}

func outcomeOfSend(err error) core.Outcome {
	if errors.Is(err, errNotSent) {
		return core.OutcomeNotRun
	}
	return core.OutcomeUnknown
}

// receive passes the answer on until its end.
func (x *stream) receive(s *session, w exchange.Writer) (*peerpb.ExchangeEnd, error) {
	var written error
	kind, payload, err := x.beginAnswer(s)
	for ; err == nil; kind, payload, err = x.nextFrame(s) {
		switch kind {
		case frameData:
			// A caller that is gone does not end the exchange: the stream
			// is read to its end, which keeps it usable.
			if written == nil {
				_, written = w.Write(payload)
			}
		case frameEnd:
			x.requests.Complete()
			end := &peerpb.ExchangeEnd{}
			return end, proto.Unmarshal(payload, end)
		default:
			return nil, errUnexpectedFrame
		}
	}
	return nil, err
}

// answerLost classifies a failure after the request was sent.
func (c *Client) answerLost(ctx context.Context, err error, req *exchange.Request, addr string) error {
	switch {
	case ctx.Err() != nil:
		return errs.Wrap(err, errs.Cancelled, core.OutcomeUnknown, "peer.receive", addr, "request given up while its answer was awaited")
	case errors.Is(err, yamux.ErrTimeout) && c.options.Now() >= req.Deadline:
		return errs.Wrap(err, errs.DeadlineExceeded, core.OutcomeUnknown, "peer.receive", addr, "no answer from the home before the deadline")
	}
	return lost(err, core.OutcomeUnknown, "peer.receive", addr)
}

func lost(err error, outcome core.Outcome, step, addr string) *errs.Error {
	return errs.Wrap(err, errs.ConnectionLost, outcome, step, addr, "connection to the daemon at %s failed", addr)
}
