package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer/peerpb"
)

// directWrite is the size from which answer data goes out without a copy.
const directWrite = 16 << 10

// readyForQuery is the fixed part of the last message of an answer; a status
// byte follows it.
var readyForQuery = []byte{'Z', 0, 0, 0, 5}

// serverStream serves one yamux stream.
type serverStream struct {
	server  *Server
	session *serverSession
	raw     *yamux.Stream
	// readBuf and messages hold the present request, sendBuf its answer.
	readBuf  []byte
	messages []byte
	sendBuf  []byte
	// number is that of the present exchange on the stream, 0 if the client accepts none.
	number uint64
}

func (s *Server) serveStream(ctx context.Context, session *serverSession, raw *yamux.Stream) {
	defer raw.Close()
	x := &serverStream{server: s, session: session, raw: raw}
	err := x.serve(ctx)
	if !errors.Is(err, io.EOF) && !session.mux.IsClosed() {
		s.options.Log.Warn("stream of peer ended", "step", "peer.serve", "peer", session.addr, "error", err)
	}
}

// serve runs until the stream ends or fails; io.EOF is its ordinary end.
func (x *serverStream) serve(ctx context.Context) error {
	var kind [1]byte
	if _, err := io.ReadFull(x.raw, kind[:]); err != nil {
		return err
	}
	serveOne := x.serveExchange
	switch kind[0] {
	case streamExchange:
	case streamCall:
		serveOne = x.serveCall
	default:
		return fmt.Errorf("unknown kind of stream %q", kind[0])
	}
	for {
		if err := serveOne(ctx); err != nil {
			return err
		}
		if max(cap(x.readBuf), cap(x.messages)) > smallBuffer {
			// yamux's own buffer has grown with ours.
			x.raw.Shrink()
		}
		x.readBuf, x.messages, x.sendBuf = trim(x.readBuf), trim(x.messages), trim(x.sendBuf)
	}
}

// begin and end count what is in flight.
func (s *Server) begin() { s.inflight.Add(1) }

func (s *Server) end() {
	s.lastUse.Store(int64(s.options.Now()))
	s.inflight.Add(-1)
}

func (x *serverStream) serveExchange(ctx context.Context) error {
	req, err := x.readRequest()
	if err != nil {
		return err
	}
	x.server.begin()
	defer x.server.end()
	x.sendBuf = appendNumber(x.sendBuf, x.number)
	result, err := x.server.options.Handler.Do(ctx, req, x)
	x.server.noteTransaction(x.session, req.Caller, req.TxStatus, statusAfter(result))
	x.sendBuf, err = appendMessage(x.sendBuf, frameEnd, endToProto(result, err))
	if err != nil {
		return err
	}
	return x.flush()
}

// readRequest reads one complete request; nothing of it runs before that.
func (x *serverStream) readRequest() (*exchange.Request, error) {
	kind, payload, err := readFrame(x.raw, x.readBuf)
	x.readBuf = payload
	if err != nil {
		return nil, err
	}
	if kind != frameHeader {
		return nil, fmt.Errorf("%w %q", errUnexpectedFrame, kind)
	}
	header := &peerpb.ExchangeHeader{}
	if err := proto.Unmarshal(payload, header); err != nil {
		return nil, fmt.Errorf("exchange header: %w", err)
	}
	x.number = header.GetNumber()
	req := headerFromProto(header, x.server.options.Now())
	req.Messages, err = x.readMessages()
	return req, err
}

func (x *serverStream) readMessages() ([]byte, error) {
	x.messages = x.messages[:0]
	for {
		kind, size, err := readHead(x.raw)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if kind != frameMessages && kind != frameRun {
			return nil, fmt.Errorf("%w %q", errUnexpectedFrame, kind)
		}
		if int64(len(x.messages)+size) > x.server.options.MaxRequest {
			return nil, fmt.Errorf("request above %d bytes", x.server.options.MaxRequest)
		}
		if x.messages, err = readPayload(x.raw, x.messages, size); err != nil {
			return nil, unexpectedEOF(err)
		}
		if kind == frameRun {
			return x.messages, nil
		}
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write sends answer messages on. Data that ends the answer waits for the end
// frame and goes out with it; other data goes out at once, so that a caller
// sees the rows of a slow statement as they come.
func (x *serverStream) Write(messages []byte) (int, error) {
	x.sendBuf = appendFrameHead(x.sendBuf, frameData, len(messages))
	if len(messages) >= directWrite {
		if err := x.flush(); err != nil {
			return 0, err
		}
		return x.raw.Write(messages)
	}
	x.sendBuf = append(x.sendBuf, messages...)
	if endsAnswer(messages) {
		return len(messages), nil
	}
	return len(messages), x.flush()
}

func endsAnswer(messages []byte) bool {
	n := len(messages) - len(readyForQuery) - 1
	return n >= 0 && bytes.HasPrefix(messages[n:], readyForQuery)
}

func (x *serverStream) flush() error {
	_, err := x.raw.Write(x.sendBuf)
	x.sendBuf = x.sendBuf[:0]
	return err
}

func (x *serverStream) serveCall(ctx context.Context) error {
	kind, payload, err := readFrame(x.raw, x.readBuf)
	x.readBuf = payload
	if err != nil {
		return err
	}
	if kind != frameCall {
		return fmt.Errorf("%w %q", errUnexpectedFrame, kind)
	}
	call := &peerpb.Call{}
	if err := proto.Unmarshal(payload, call); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	x.server.begin()
	defer x.server.end()
	reply, err := x.server.answer(ctx, call)
	if err != nil {
		reply = &peerpb.Reply{Error: errorToProto(err)}
	}
	reply.Number = call.GetNumber()
	if x.sendBuf, err = appendMessage(x.sendBuf, frameReply, reply); err != nil {
		return err
	}
	return x.flush()
}

func (s *Server) answer(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	switch c := call.GetCall().(type) {
	case *peerpb.Call_Cancel:
		s.options.Handler.Cancel(callerFromProto(c.Cancel.GetCaller()))
		return &peerpb.Reply{}, nil
	case *peerpb.Call_Hangup:
		caller := callerFromProto(c.Hangup.GetCaller())
		s.noteTransaction(nil, caller, 0, txIdle)
		s.options.Handler.Hangup(caller)
		return &peerpb.Reply{}, nil
	case nil:
		return nil, errs.New(errs.Unsupported, core.OutcomeNotRun, "peer.call", "", "call of unknown type")
	}
	return s.options.Calls.Call(ctx, call)
}
