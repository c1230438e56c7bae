package store_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/store"
	standin "limpetspan/standin/store"
)

// serveTwice serves the connections of a listener. It gives each response twice, the second time once the next request of
// the connection has arrived.
func serveTwice(listener net.Listener, handler http.Handler) {
	for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			var repeated []byte
			for request, err := http.ReadRequest(in); err == nil; request, err = http.ReadRequest(in) {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, request)
				response := recorder.Result()
				response.ContentLength = int64(recorder.Body.Len())
				var out bytes.Buffer
				_ = response.Write(&out)
				if _, err := conn.Write(append(repeated, out.Bytes()...)); err != nil {
					return
				}
				repeated = out.Bytes()
			}
		}()
	}
}

var _ = Describe("a gateway that gives responses twice", func() {
	var client *store.Client
	var engine *standin.Engine

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		engine = standin.NewEngine(standin.SystemClock{})
		go serveTwice(listener, standin.NewServer(engine))
		client, err = store.NewClient(store.Options{Endpoints: []string{"http://" + listener.Addr().String()}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
	})

	// Guards against a response that is taken for that of the next request on the connection: a change that lost
	// against another one would count as made.
	It("is not believed a second time in a swap", func() {
		for i, swapped := range []bool{true, false} {
			result, err := client.CompareAndSwap(context.Background(), store.Swap{Key: "head", Value: []byte{byte(i)}})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Swapped).To(Equal(swapped))
		}
	})

	// Guards against an old value that is taken for the present one.
	It("is not believed a second time in a read", func() {
		for _, value := range []string{"1", "2", "3"} {
			_, err := engine.Put(standin.Put{Key: "head", Value: []byte(value)})
			Expect(err).NotTo(HaveOccurred())
			kv, err := client.Get(context.Background(), "head")
			Expect(err).NotTo(HaveOccurred())
			Expect(string(kv.Value)).To(Equal(value))
		}
	})
})
