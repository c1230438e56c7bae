package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/standin/control"
)

var _ = Describe("Mux", func() {
	var mux *control.Mux
	do := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	BeforeEach(func() {
		mux = control.New()
		mux.Handle("/store/outage", `{"on":true}`, func(_ context.Context, arg json.RawMessage) (any, error) {
			var in struct{ On *bool }
			if err := json.Unmarshal(arg, &in); err != nil {
				return nil, err
			}
			if in.On == nil {
				return nil, errors.New("on is missing")
			}
			return map[string]bool{"on": *in.On}, nil
		})
	})

	It("runs the endpoint with the body", func() {
		w := do(http.MethodPost, "/store/outage", `{"on":true}`)
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Body.String()).To(MatchJSON(`{"on":true}`))
	})
	It("lists the endpoints", func() {
		w := do(http.MethodGet, "/", "")
		Expect(w.Body.String()).To(MatchJSON(`[{"path":"/store/outage","doc":"{\"on\":true}"}]`))
	})
	DescribeTable("refuses bad input", func(method, path, body string, status int) {
		w := do(method, path, body)
		Expect(w.Code).To(Equal(status))
		Expect(w.Body.String()).To(ContainSubstring(`"error"`))
	},
		Entry("unknown path", http.MethodPost, "/nope", "{}", http.StatusNotFound),
		Entry("wrong method", http.MethodGet, "/store/outage", "", http.StatusMethodNotAllowed),
		Entry("no JSON", http.MethodPost, "/store/outage", "{", http.StatusBadRequest),
		Entry("an empty body without the field", http.MethodPost, "/store/outage", "", http.StatusBadRequest),
		Entry("too large", http.MethodPost, "/store/outage", strings.Repeat(" ", control.MaxBody+1), http.StatusBadRequest),
	)
	It("uses the status of a StatusError", func() {
		mux.Handle("/x", "", func(context.Context, json.RawMessage) (any, error) {
			return nil, &control.StatusError{Status: http.StatusConflict, Err: errors.New("busy")}
		})
		Expect(do(http.MethodPost, "/x", "").Code).To(Equal(http.StatusConflict))
	})
})
