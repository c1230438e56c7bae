package store_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/standin/control"
	"limpetspan/standin/store"
)

var _ = Describe("Server", func() {
	var (
		clock  *store.ManualClock
		server *store.Server
		mux    *control.Mux
	)
	post := func(h http.Handler, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w
	}
	BeforeEach(func() {
		clock = store.NewManualClock(time.Unix(1_000, 0))
		e := store.NewEngine(clock)
		server = store.NewServer(e)
		mux = control.New()
		store.Register(mux, server, store.NewHostList(e))
	})

	// "Zm9v" is "foo", "YmFy" is "bar".
	It("speaks the gateway's JSON: base64 bytes, int64 as strings, zero left out", func() {
		Expect(post(server, "/v3/kv/put", `{"key":"Zm9v","value":"YmFy"}`).Body.String()).
			To(MatchJSON(`{"header":{"cluster_id":"14841639068965178","revision":"2"}}`))
		Expect(post(server, "/v3/kv/range", `{"key":"Zm9v"}`).Body.String()).
			To(MatchJSON(`{"header":{"cluster_id":"14841639068965178","revision":"2"},
				"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}`))
		txn := `{"compare":[{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"9"}],
			"success":[{"request_delete_range":{"key":"Zm9v"}}],"failure":[{"request_range":{"key":"Zm9v"}}]}`
		Expect(post(server, "/v3/kv/txn", txn).Body.String()).NotTo(ContainSubstring("succeeded"))
		txn = strings.Replace(txn, `"9"`, `"2"`, 1)
		Expect(post(server, "/v3/kv/txn", txn).Body.String()).
			To(MatchJSON(`{"header":{"cluster_id":"14841639068965178","revision":"3"},"succeeded":true,
				"responses":[{"response_delete_range":{"header":{"cluster_id":"14841639068965178","revision":"3"},"deleted":"1"}}]}`))
		Expect(post(server, "/v3/lease/keepalive", `{"ID":"7"}`).Body.String()).
			To(MatchJSON(`{"result":{"header":{"cluster_id":"14841639068965178","revision":"3"},"ID":"7"}}`))
	})

	DescribeTable("answers errors with their status",
		func(path, body string, status int) { Expect(post(server, path, body).Code).To(Equal(status)) },
		Entry("no JSON", "/v3/kv/put", "{", http.StatusBadRequest),
		Entry("no base64", "/v3/kv/put", `{"key":"?"}`, http.StatusBadRequest),
		Entry("no key", "/v3/kv/put", `{}`, http.StatusBadRequest),
		Entry("unknown lease", "/v3/kv/put", `{"key":"Zm9v","lease":"7"}`, http.StatusNotFound),
		Entry("no such call", "/v3/kv/compact", `{}`, http.StatusNotFound),
		Entry("watch without create_request", "/v3/watch", `{}`, http.StatusBadRequest),
	)

	It("refuses calls over the limits and counts them", func() {
		Expect(post(mux, "/store/limits", `{"writes":10,"reads":10}`).Code).To(Equal(http.StatusOK))
		put := func() int { return post(server, "/v3/kv/put", `{"key":"Zm9v"}`).Code }
		Expect(put()).To(Equal(http.StatusOK))
		Expect(put()).To(Equal(http.StatusTooManyRequests))
		Expect(post(server, "/v3/kv/range", `{"key":"Zm9v"}`).Code).To(Equal(http.StatusOK), "reads have their own limit")
		clock.Advance(100 * time.Millisecond)
		Expect(put()).To(Equal(http.StatusOK))
		var counts store.Counts
		Expect(json.Unmarshal(post(mux, "/store/counts", "").Body.Bytes(), &counts)).To(Succeed())
		Expect(counts.Writes).To(BeEquivalentTo(3))
		Expect(counts.Calls[store.KindPut]).To(BeEquivalentTo(3))
		Expect(counts.Refused).To(BeEquivalentTo(1))
	})

	It("cuts the connection of a change whose answer is to be lost, after it took effect", func() {
		Expect(post(mux, "/store/lose", `{"count":1}`).Code).To(Equal(http.StatusOK))
		Expect(func() { post(server, "/v3/kv/put", `{"key":"Zm9v"}`) }).To(PanicWith(http.ErrAbortHandler))
		Expect(server.Engine().Revision()).To(BeEquivalentTo(2))
	})

	It("refuses each call in an outage", func() {
		Expect(post(mux, "/store/outage", `{"on":true}`).Code).To(Equal(http.StatusOK))
		Expect(post(server, "/v3/kv/put", `{"key":"Zm9v"}`).Code).To(Equal(http.StatusServiceUnavailable))
		Expect(post(mux, "/store/outage", `{"on":false}`).Code).To(Equal(http.StatusOK))
		Expect(post(server, "/v3/kv/put", `{"key":"Zm9v"}`).Code).To(Equal(http.StatusOK))
		Expect(post(mux, "/store/outage", `{"on":true,"mode":"nope"}`).Code).To(Equal(http.StatusBadRequest))
	})
})
