package relay

import (
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"

	"persimmonworks.example/persimmonworks/framing"
)

// Failures of calls. Errors are wrapped; compare with errors.Is.
var (
	// ErrNotSent: the peer has certainly not acted on the call.
	ErrNotSent = errors.New("not sent")
	// ErrUnknown: the call was sent and its outcome is not known.
	ErrUnknown = errors.New("outcome unknown")
	// ErrTruncated, ErrAltered and ErrMalformed are those of package framing.
	ErrTruncated = framing.ErrTruncated
	ErrAltered   = framing.ErrAltered
	ErrMalformed = framing.ErrMalformed
)

// Codes with which a side resets a stream.
const (
	codeDone    quic.StreamErrorCode = iota // nothing more is needed
	codeGivenUp                             // the caller waits no longer
	codeNotRun                              // the callee has not acted on the call
	codeAborted                             // the body cannot be completed
)

// Codes with which a side closes a connection.
const (
	closeLeaving quic.ApplicationErrorCode = iota
	closeRejected
)

func notSent(address, request string, cause error) error {
	return fmt.Errorf("call %q to %s: %w: %w", request, address, ErrNotSent, cause)
}

// afterSend classifies a failure after the first byte of a call was sent. Only
// the callee's own word that it has not acted makes it ErrNotSent.
func afterSend(address, request string, cause error) error {
	var reset *quic.StreamError
	if errors.As(cause, &reset) && reset.Remote && reset.ErrorCode == codeNotRun {
		return notSent(address, request, cause)
	}
	return fmt.Errorf("call %q to %s: %w: %w", request, address, ErrUnknown, cause)
}
