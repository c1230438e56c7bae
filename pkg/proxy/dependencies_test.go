package proxy

import (
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"limpetspan/core"
)

var _ = Describe("the log of dependencies", func() {
	// Guards against a dependency that fails for one reason, then stays lost for another one that no
	// line shows.
	It("shows why a dependency is still lost", func() {
		out := gbytes.NewBuffer()
		d := newDependencies(hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true}))
		at := core.Time(time.Hour)
		d.report("store", at, errors.New("no route"))
		d.report("store", at.Add(dependencyLogInterval/2), errors.New("not yet shown"))
		d.report("store", at.Add(dependencyLogInterval), errors.New("response is too long"))
		d.report("store", at.Add(dependencyLogInterval+time.Millisecond), errors.New("not shown again"))
		Expect(d.isLost("store")).To(BeTrue())
		d.report("store", at.Add(2*dependencyLogInterval), nil)
		Expect(d.isLost("store")).To(BeFalse())
		text := string(out.Contents())
		Expect(text).To(MatchRegexp(`(?s)"dependency lost".*no route.*"dependency still lost".*response is too long.*"dependency regained".*"failures":4,"lost_ms":10000`))
		Expect(text).NotTo(Or(ContainSubstring("not yet"), ContainSubstring("not shown")))
	})
})
