// This file owns End: the ways in which a connection can end, how errors map to
// them, and the one place where they map to the module's outcomes. It must never
// end a connection itself: close.go does.

package stream

import (
	"errors"
	"io"
	"net"
	"syscall"

	"robinmast/rules"
)

// End is how a connection ended. Every connection of the node, to dispatchers,
// to the worker pool and to the membership service, ends in exactly one of
// these ways.
type CloseReason uint8

// The ways a connection can end.
const (
	StillOpen     CloseReason = iota
	PeerClosed                // the peer has sent all it had to say, and closed in order
	PeerReset                 // the peer broke the connection off
	ReadFailed                // any other trouble while reading
	WriteFailed               // any other trouble while writing
	BadFraming                // bytes that are no message
	TooLong                   // a message, or a part of one, beyond its bound
	ReadStalled               // a message began and did not go on, or an awaited one never came
	WriteStalled              // the peer took nothing for too long
	Overflow                  // the peer left more unread than is kept for it
	IdleClosed                // closed here, as it carried nothing for too long
	ClosedLocally             // closed here, as the node leaves or uses another connection
	DialRefused               // never opened: nobody listens
	DialFailed                // never opened: any other trouble
	numCloseReasons
)

var closeReasonNames = [numCloseReasons]string{
	"open", "peer_closed", "peer_reset", "read_failed", "write_failed", "bad_framing", "too_long",
	"read_stalled", "write_stalled", "overflow", "idle_closed", "left_by_us", "dial_refused", "dial_failed",
}

// String is the name that logs and counters use.
func (e CloseReason) String() string {
	if e < numCloseReasons {
		return closeReasonNames[e]
	}
	return "unknown"
}

// Ends lists every way a connection can end.
func CloseReasons() []CloseReason {
	all := make([]CloseReason, 0, numCloseReasons-1)
	for e := StillOpen + 1; e < numCloseReasons; e++ {
		all = append(all, e)
	}
	return all
}

// Outcome is the one place that maps an End to the decision module's outcomes,
// for whatever was open on the connection. OK means that it stays open: a peer
// that closed its side in order may still read what it is owed.
func (e CloseReason) Outcome() rules.Outcome {
	switch e {
	case StillOpen, PeerClosed:
		return rules.OK
	case DialRefused, DialFailed:
		return rules.ConnectFailed
	case ReadStalled, WriteStalled, Overflow:
		return rules.TimedOut
	case IdleClosed, ClosedLocally:
		return rules.Cancelled
	}
	return rules.ConnectionReset
}

// lingers tells whether the peer may still be sending, and hear what was sent to it.
func (e CloseReason) lingers() bool {
	switch e {
	case PeerClosed, PeerReset, ReadFailed, WriteFailed, DialRefused, DialFailed:
		return false
	}
	return true
}

// Error is an End as an error, with its cause.
type Error struct {
	Reason CloseReason
	Cause  error
}

func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Reason.String()
	}
	return e.Reason.String() + ": " + e.Cause.Error()
}

// Unwrap is the cause.
func (e *Error) Unwrap() error { return e.Cause }

// EndOf says which End an error of a connection stands for; other is taken
// where the error itself does not tell.
func CloseReasonOf(err error, other CloseReason) CloseReason {
	var own *Error
	switch {
	case err == nil:
		return StillOpen
	case errors.As(err, &own):
		return own.Reason
	case errors.Is(err, io.EOF):
		return PeerClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrClosedPipe):
		return PeerReset
	case errors.Is(err, net.ErrClosed):
		return ClosedLocally
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	}
	return other
}
