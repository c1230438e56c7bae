package errs_test

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/pkg/errs"
)

var _ = Describe("An error", func() {
	// A call to another daemon times out. Because errorx hides wrapped errors, code that
	// checks for a deadline, to report it and not to repeat the call, would see an unknown
	// failure.
	It("exposes its cause", func() {
		cause := fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Err: context.DeadlineExceeded})
		err := errs.Wrap(cause, errs.ConnectionLost, core.OutcomeNotRun, "peer.connect", "d1", "no connection")
		outer := errs.Wrap(fmt.Errorf("again: %w", err), errs.Unavailable, core.OutcomeNotRun, "entry.forward", "d1", "no home")
		for _, e := range []error{err, outer} {
			Expect(errors.Is(e, context.DeadlineExceeded)).To(BeTrue())
			_, ok := errors.AsType[*net.OpError](e)
			Expect(ok).To(BeTrue())
		}
	})

	It("has its own kind and not that of its cause", func() {
		inner := errs.New(errs.Overloaded, core.OutcomeNotRun, "home.queue", "", "full")
		err := errs.Wrap(inner, errs.Internal, core.OutcomeUnknown, "entry.forward", "d1", "failed at %s", "d1")
		Expect(errs.Is(err, errs.Internal)).To(BeTrue())
		Expect(errs.Is(err, errs.Overloaded)).To(BeFalse())
		Expect(errs.As(fmt.Errorf("outer: %w", err))).To(BeIdenticalTo(err))
		wrapped, ok := errors.AsType[*errorx.Error](err)
		Expect(ok).To(BeTrue())
		Expect(errorx.IsOfType(wrapped, errs.Internal.Type)).To(BeTrue())
		Expect(err.Message()).To(Equal("failed at d1"))
		Expect(err.Error()).To(And(ContainSubstring("full"), ContainSubstring("outcome=unknown step=entry.forward peer=d1")))
	})

	It("that wraps a foreign error is internal with an unknown outcome", func() {
		err := errs.As(context.Canceled)
		Expect(err.Kind).To(BeIdenticalTo(errs.Internal))
		Expect(err.Outcome).To(Equal(core.OutcomeUnknown))
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	})
})
