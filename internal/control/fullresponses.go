package control

import (
	"context"
	"time"
)

// step grants turns; turnMu must be held.
func (s *Streams) step() {
	granted, again := s.turns.Grant(time.Since(s.began))
	for _, turn := range granted {
		close(s.waiting[turn])
		delete(s.waiting, turn)
	}
	if again == 0 {
		return
	}
	if s.waker == nil {
		s.waker = time.AfterFunc(again, func() {
			s.turnMu.Lock()
			defer s.turnMu.Unlock()
			s.step()
		})
		return
	}
	s.waker.Reset(again)
}

// whole waits for a turn to be given a whole answer; done gives it back.
func (s *Streams) whole(ctx context.Context, name string) (done func(), err error) {
	s.turnMu.Lock()
	turn, granted := s.turns.Request(name), make(chan struct{})
	s.waiting[turn] = granted
	s.step()
	s.turnMu.Unlock()
	done = func() {
		s.turnMu.Lock()
		defer s.turnMu.Unlock()
		s.turns.Release(turn)
		delete(s.waiting, turn)
		s.step()
	}
	select {
	case <-granted:
		return done, nil
	case <-ctx.Done():
		done()
		return nil, ctx.Err()
	}
}
