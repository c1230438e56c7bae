package overhead

import (
	"net"

	"golang.org/x/sync/errgroup"
)

// relayBuffer is the size of one read of the relay.
const relayBuffer = 16 << 10

// relay passes bytes between callers and a member and looks at none of them:
// what any program between the two costs at least.
type relay struct {
	listener net.Listener
	target   string
	parts    errgroup.Group
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target}
	r.parts.Go(r.accept)
	return r, nil
}

func (r *relay) accept() error {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		member, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		r.parts.Go(func() error { return pass(caller, member) })
		r.parts.Go(func() error { return pass(member, caller) })
	}
}

// pass copies until one end closes, then closes the other. It reads and writes
// as a proxy must, without the kernel's splice.
func pass(from, to net.Conn) error {
	defer to.Close()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return nil
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return nil
		}
	}
}

// close ends the relay once its callers have gone.
func (r *relay) close() {
	_ = r.listener.Close()
	_ = r.parts.Wait()
}
