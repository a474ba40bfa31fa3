package stream

import (
	"errors"
	"io"
	"net"
	"syscall"

	"robinmast/rules"
)

// CloseReason says why a connection was closed. Every connection of the node, to dispatchers, to the worker
// pool, to the membership service and to downstream dependencies, closes for exactly one of these reasons.
type CloseReason uint8

// The reasons for which a connection can close.
const (
	StillOpen     CloseReason = iota
	PeerClosed                // the peer closed its side in order
	PeerReset                 // the peer reset the connection
	ReadFailed                // any other read error
	WriteFailed               // any other write error
	BadFraming                // bytes that are not a message
	TooLong                   // a message, or a part of one, exceeds its size limit
	ReadStalled               // a message remained incomplete, or an expected one did not arrive in time
	WriteStalled              // the peer accepted no data for too long
	Overflow                  // more output was unsent than may be buffered
	IdleClosed                // closed locally, since it was idle for too long
	ClosedLocally             // closed locally, since the node drains or uses another connection
	DialRefused               // never opened: connection refused
	DialFailed                // never opened: any other error
	numCloseReasons
)

var closeReasonNames = [numCloseReasons]string{
	"open", "peer_closed", "peer_reset", "read_failed", "write_failed", "bad_framing", "too_long",
	"read_stalled", "write_stalled", "overflow", "idle_closed", "left_by_us", "dial_refused", "dial_failed",
}

// String returns the name that logs and counters use.
func (r CloseReason) String() string {
	if r < numCloseReasons {
		return closeReasonNames[r]
	}
	return "unknown"
}

// CloseReasons lists every CloseReason but StillOpen.
func CloseReasons() []CloseReason {
	all := make([]CloseReason, 0, numCloseReasons-1)
	for reason := StillOpen + 1; reason < numCloseReasons; reason++ {
		all = append(all, reason)
	}
	return all
}

// Outcome maps a CloseReason to the decision module's outcome for the requests that were open on the
// connection. It is the only such mapping. OK means that they stay open: a peer that closed its side in order
// may still read its answers.
func (r CloseReason) Outcome() rules.Outcome {
	switch r {
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

// lingers reports whether the peer may still send, and read what was sent to it.
func (r CloseReason) lingers() bool {
	switch r {
	case PeerClosed, PeerReset, ReadFailed, WriteFailed, DialRefused, DialFailed:
		return false
	}
	return true
}

// Error is the error of a connection that was closed or cannot be read further.
type Error struct {
	Reason CloseReason
	Cause  error // nil = none
}

// Error returns the name of the reason, and the cause if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Reason.String()
	}
	return e.Reason.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// CloseReasonOf returns the CloseReason that an error of a connection stands for, StillOpen if err is nil, and
// other if err identifies none.
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
