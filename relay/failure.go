package relay

import (
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"

	"persimmonworks.example/persimmonworks/framing"
)

// Errors of calls. They are wrapped; compare with errors.Is.
var (
	// ErrNotSent means that the peer has certainly not acted on the call.
	ErrNotSent = errors.New("not sent")
	// ErrUnknown means that the call was sent and its outcome is not known.
	ErrUnknown = errors.New("outcome unknown")
	// ErrTruncated, ErrAltered and ErrMalformed are those of package framing.
	ErrTruncated = framing.ErrTruncated
	ErrAltered   = framing.ErrAltered
	ErrMalformed = framing.ErrMalformed
)

// Error codes for resetting a stream.
const (
	codeDone      quic.StreamErrorCode = iota // no more data is needed
	codeCancelled                             // the caller no longer waits for the answer
	codeNotRun                                // the callee has not acted on the call
	codeAborted                               // the body cannot be completed
)

// Error codes for closing a connection.
const (
	closeLeaving quic.ApplicationErrorCode = iota
	closeRejected
)

func notSent(address, request string, cause error) error {
	return fmt.Errorf("call %q to %s: %w: %w", request, address, ErrNotSent, cause)
}

// afterSend classifies a failure that occurred after the first byte of a call was
// sent. It is ErrNotSent only if the callee reset the stream with codeNotRun.
func afterSend(address, request string, cause error) error {
	var reset *quic.StreamError
	if errors.As(cause, &reset) && reset.Remote && reset.ErrorCode == codeNotRun {
		return notSent(address, request, cause)
	}
	return fmt.Errorf("call %q to %s: %w: %w", request, address, ErrUnknown, cause)
}
