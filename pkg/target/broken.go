package target

import (
	"errors"
	"fmt"
)

// ErrOutOfStep says that something came in place of the answer that was awaited. The answers of the connection
// cannot be matched to exchanges any more.
var ErrOutOfStep = errors.New("target: the member answered out of step")

// Broken says that a connection ended, or left the protocol, before a batch was
// complete. The connection is not to be used again.
type Broken struct {
	// Sent is set unless it is sure that nothing of the batch left this process.
	Sent bool
	// Code is the SQLSTATE the member ended the connection with; may be empty.
	Code string
	// Started is set once the member had answered with a result or a row.
	Started bool
	Err     error
}

func (b *Broken) Error() string {
	if b.Code != "" {
		return fmt.Sprintf("target: connection broken (SQLSTATE %s): %v", b.Code, b.Err)
	}
	return fmt.Sprintf("target: connection broken: %v", b.Err)
}

// Unwrap returns the cause.
func (b *Broken) Unwrap() error { return b.Err }
