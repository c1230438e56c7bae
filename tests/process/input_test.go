package process_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Bad input", func() {
	// A port scanner or a broken terminal at one daemon, and gates elsewhere
	// stop working. Garbage and connections that say nothing reach each address
	// of a daemon while callers use it.
	It("to one daemon harms no other caller", func(ctx SpecContext) {
		f := newFleet()
		victim := home(f.live())
		l := startLoad(6, f.live)
		l.awaitProgress(3)
		random := rand.New(rand.NewPCG(1, uint64(GinkgoRandomSeed())))
		var open []net.Conn
		DeferCleanup(func() {
			for _, conn := range open {
				_ = conn.Close()
			}
		})
		for range 40 {
			for _, addr := range []string{victim.Callers, victim.Peers, victim.Operator} {
				open = append(open, send(addr, garbage(random)), send(addr, nil), send(addr, halfStartup()))
			}
			_ = send("udp:"+victim.Gossip, garbage(random)).Close()
		}
		l.awaitProgress(20)
		for _, conn := range open {
			_ = conn.Close()
		}
		l.awaitProgress(5)
		l.stop()
		l.verify(ctx, victim)
		Expect(l.errors).To(BeEmpty())
	})
})

// garbageSize bounds a piece of garbage, in bytes.
const garbageSize = 4096

func garbage(random *rand.Rand) []byte {
	b := make([]byte, 1+random.IntN(garbageSize))
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// halfStartup is the beginning of a startup message that announces more.
func halfStartup() []byte {
	b := binary.BigEndian.AppendUint32(nil, 5000)
	return append(binary.BigEndian.AppendUint32(b, 196608), "user\x00ri"...)
}

// send opens a connection, to UDP with the prefix "udp:", and sends bytes.
func send(addr string, b []byte) net.Conn {
	GinkgoHelper()
	network := "tcp"
	if rest, ok := strings.CutPrefix(addr, "udp:"); ok {
		network, addr = "udp", rest
	}
	conn, err := net.Dial(network, addr)
	Expect(err).NotTo(HaveOccurred())
	// The daemon may have closed it already.
	_, _ = conn.Write(b)
	return conn
}
