package peer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/pkg/peer/peerpb"
)

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// Call sends a unary call to the daemon at addr. An error of the daemon comes
// back as the *errs.Error that it was there.
func (c *Client) Call(ctx context.Context, addr string, call *peerpb.Call) (*peerpb.Reply, error) {
	s, x, err := c.stream(ctx, addr, streamCall)
	if err != nil {
		return nil, lost(err, core.OutcomeNotRun, "peer.connect", addr)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	release := x.bind(ctx, deadline)
	reply, err := x.call(call)
	release(s, err == nil)
	if err != nil {
		return nil, lost(err, outcomeOfSend(err), "peer.call", addr)
	}
	s.noteHeard()
	if reply.GetError() != nil {
		return nil, errorFromProto(reply.GetError())
	}
	return reply, nil
}

func (x *stream) call(call *peerpb.Call) (*peerpb.Reply, error) {
	numbered := &peerpb.Call{Call: call.GetCall(), Number: x.number()}
	buf, err := appendMessage(x.sendBuf, frameCall, numbered)
	x.sendBuf = buf
	if err != nil {
		return nil, err
	}
	if err := x.flush(); err != nil {
		return nil, err
	}
	kind, payload, err := readFrame(x, x.frameBuf)
	x.frameBuf = payload
	if err != nil {
		return nil, err
	}
	if kind != frameReply {
		return nil, fmt.Errorf("%w %q", errUnexpectedFrame, kind)
	}
	reply := &peerpb.Reply{}
	if err := proto.Unmarshal(payload, reply); err != nil {
		return nil, err
	}
	if err := x.accept(reply.GetNumber()); err != nil {
		return nil, err
	}
	x.requests.Complete()
	return reply, nil
}

// Cancel ends what the caller is running in the group at the daemon at addr.
func (c *Client) Cancel(ctx context.Context, addr string, caller core.CallerID, group core.GroupID) error {
	_, err := c.Call(ctx, addr, &peerpb.Call{Call: &peerpb.Call_Cancel{Cancel: callerCall(caller, group)}})
	return err
}

// Hangup tells the daemon at addr that the caller's connection is gone.
func (c *Client) Hangup(ctx context.Context, addr string, caller core.CallerID, group core.GroupID) error {
	c.forgetTransaction(caller)
	_, err := c.Call(ctx, addr, &peerpb.Call{Call: &peerpb.Call_Hangup{Hangup: callerCall(caller, group)}})
	return err
}

func callerCall(caller core.CallerID, group core.GroupID) *peerpb.CallerCall {
	return &peerpb.CallerCall{Caller: callerToProto(caller), Group: string(group)}
}
