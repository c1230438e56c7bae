package target

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
)

// sslRequestCode is the code of the SSLRequest message.
const sslRequestCode = 80877103

// dialCancel opens a connection for a cancel request, with TLS where the
// member's other connections have it.
func (d *Dialer) dialCancel(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := d.netDialer().DialContext(ctx, "tcp", addr)
	if err != nil || d.TLS == nil {
		return conn, err
	}
	secured, err := d.startTLS(ctx, conn, addr)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

func (d *Dialer) startTLS(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	var request [8]byte
	binary.BigEndian.PutUint32(request[:4], uint32(len(request)))
	binary.BigEndian.PutUint32(request[4:], sslRequestCode)
	if _, err := conn.Write(request[:]); err != nil {
		return nil, err
	}
	var answer [1]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return nil, err
	}
	if answer[0] != 'S' {
		return nil, errors.New("target: the member refused TLS for a cancel request")
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, d.tlsFor(host))
	return secured, secured.HandshakeContext(ctx)
}
