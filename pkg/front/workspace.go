package front

import (
	"sync"

	"limpetspan/pkg/exchange"
)

// workspace is the memory of one exchange in progress. An idle connection has none.
type workspace struct {
	in      input
	out     answer
	batch   batch
	request exchange.Request
}

// workspaces is a pool of workspaces with the same bounds.
type workspaces struct {
	pool                 sync.Pool
	maxMessage, maxBatch int
}

func newWorkspaces(maxMessage, maxBatch int) *workspaces {
	w := &workspaces{maxMessage: maxMessage, maxBatch: maxBatch}
	w.pool.New = func() any {
		return &workspace{
			in:  input{buf: make([]byte, initialInput), maxMessage: maxMessage, maxBatch: maxBatch},
			out: answer{buf: make([]byte, 0, answerBuffer)},
		}
	}
	return w
}

func (w *workspaces) get() *workspace { return w.pool.Get().(*workspace) }

// with returns a workspace that holds the first bytes of an exchange.
func (w *workspaces) with(first []byte) *workspace {
	ws := w.get()
	ws.in.end = copy(ws.in.buf, first)
	return ws
}

// keptStatements is how many entries a batch in the pool may hold.
const keptStatements = 1024

// put gives a workspace back without what it points to. Large buffers are
// left to the garbage collector.
func (w *workspaces) put(ws *workspace) {
	if len(ws.in.buf) > keptInput {
		ws.in.buf = make([]byte, initialInput)
	}
	if cap(ws.out.buf) > keptInput {
		ws.out.buf = make([]byte, 0, answerBuffer)
	}
	if cap(ws.batch.changes)+cap(ws.batch.uses)+len(ws.batch.named) > keptStatements {
		ws.batch = batch{}
	}
	ws.in.start, ws.in.next, ws.in.end = 0, 0, 0
	ws.batch.reset()
	ws.out.reset(nil)
	ws.request = exchange.Request{}
	w.pool.Put(ws)
}
