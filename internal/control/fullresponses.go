package control

import (
	"context"
	"time"
)

// grantTickets lets the next queued full responses start and sets the timer for those after them.
// schedulerMu must be held.
func (s *Streams) grantTickets() {
	granted, next := s.scheduler.Grant(time.Since(s.start))
	for _, ticket := range granted {
		close(s.queued[ticket])
		delete(s.queued, ticket)
	}
	if next == 0 {
		return
	}
	if s.grantTimer == nil {
		s.grantTimer = time.AfterFunc(next, func() {
			s.schedulerMu.Lock()
			defer s.schedulerMu.Unlock()
			s.grantTickets()
		})
		return
	}
	s.grantTimer.Reset(next)
}

// acquireFullResponse waits for a slot to send a full response to the proxy name, or until ctx is
// done. The caller must call release after the response was written.
func (s *Streams) acquireFullResponse(ctx context.Context, name string) (release func(), err error) {
	s.schedulerMu.Lock()
	ticket, granted := s.scheduler.Request(name), make(chan struct{})
	s.queued[ticket] = granted
	s.grantTickets()
	s.schedulerMu.Unlock()
	release = func() {
		s.schedulerMu.Lock()
		defer s.schedulerMu.Unlock()
		s.scheduler.Release(ticket)
		delete(s.queued, ticket)
		s.grantTickets()
	}
	select {
	case <-granted:
		return release, nil
	case <-ctx.Done():
		release()
		return nil, ctx.Err()
	}
}
