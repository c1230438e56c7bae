package process_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The home of a group", func() {
	// A rider checks out at one gate and the next terminal shows the bicycle as
	// still parked, or the check-out is gone or there twice. The home is killed
	// while writes run; another daemon takes over without knowing the positions
	// of the sessions, and replicas are behind.
	It("is replaced after SIGKILL, and sessions go on to see their own writes", func(ctx SpecContext) {
		f := newFleet()
		l := startLoad(6, f.live)
		l.awaitProgress(5)
		old := home(f.live())
		left := f.others(old)
		old.kill()
		l.awaitProgress(10)
		Expect(home(left)).NotTo(Equal(old))
		l.stop()
		l.verify(ctx, left[0])
	})

})
