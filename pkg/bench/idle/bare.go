package idle

import "net"

// bareSockets is how many bare connections are measured.
const bareSockets = 2000

// bareSocket returns the bytes of heap that one bare socket takes.
func bareSocket(n int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	conns := make([]net.Conn, 2*n)
	defer closeAll(conns)
	before := read()
	for i := range n {
		if conns[2*i], err = net.Dial("tcp", listener.Addr().String()); err != nil {
			return 0, err
		}
		if conns[2*i+1], err = listener.Accept(); err != nil {
			return 0, err
		}
	}
	return read().minus(before).per(len(conns)).heap, nil
}
