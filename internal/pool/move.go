package pool

import (
	"context"
	"strconv"
	"time"

	"robinmast/internal/stream"
)

// settling is the state of a link that is about to move.
type settling struct {
	order uint64        // number of the last command that was sent on the link
	done  chan struct{} // closed once the worker pool has read the commands up to it
}

// tag returns the tag of the poll whose answer shows that the commands were read.
func (s *settling) tag() string { return "m" + strconv.FormatUint(s.order, 10) }

// followAddress waits, while a link is up, for a new address, and ends the link once a
// connection to the new one is open: a new address at which nothing listens yet must not
// cost the present link.
func (l *Link) followAddress(ctx context.Context, c *stream.Conn) {
	select {
	case <-ctx.Done():
		return
	case <-l.addressChanged:
	}
	for wait := backoffMin; ; wait = min(2*wait, backoffMax) {
		raw, err := l.dial(ctx)
		if err == nil {
			l.settle(ctx, c)
			l.mu.Lock()
			l.nextConn = raw
			l.mu.Unlock()
			c.Abort(stream.ClosedLocally)
			return
		}
		l.Traffic.CountFailedDial(err)
		select {
		case <-ctx.Done():
			return
		case <-l.addressChanged: // a newer address
		case <-time.After(wait):
		}
	}
}

// settle holds back further commands and waits until the worker pool has read those sent on
// the link, so that the move leaves none in doubt. It gives up after settleTimeout, or when
// the link ends.
func (l *Link) settle(ctx context.Context, c *stream.Conn) {
	l.mu.Lock()
	if l.conn != c {
		l.mu.Unlock()
		return
	}
	s := &settling{order: l.lastOrder, done: make(chan struct{})}
	l.settling = s
	if !l.ready { // nothing was sent on it, and nothing will be
		l.mu.Unlock()
		return
	}
	sendCommand(c, command{Op: "poll", Tag: s.tag()})
	l.mu.Unlock()
	select {
	case <-s.done:
	case <-ctx.Done():
	case <-time.After(l.settleTimeout):
	}
}

// handleSettled handles the answer to the poll of settle; the lock must be held.
func (l *Link) handleSettled() {
	l.readOrder = max(l.readOrder, l.settling.order)
	select {
	case <-l.settling.done: // the answer came twice
	default:
		close(l.settling.done)
	}
}
