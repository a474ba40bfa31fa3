package recovery

import (
	"cmp"
	"slices"
	"time"
)

// FairScheduler decides which of the waiting clients are served at once, after all proxies lost
// the control service and reconnect together: a bounded number at a time, the one that was served
// longest ago first. A client that does not finish in time does not hold up the others.
type FairScheduler struct {
	limit      int                      // clients served at once
	maxHold    time.Duration            // after which a ticket that was not released expires
	active     map[uint64]time.Duration // granted tickets, and when they were granted
	queue      []waiter
	lastServed map[string]time.Duration // by name, when it was granted a ticket
	lastTicket uint64

	Overdue int // tickets that expired before they were released
}

// waiter is a request that was not granted yet.
type waiter struct {
	ticket     uint64
	name       string
	lastServed time.Duration // -1 = never
}

const maxTrackedNames = 20_000 // clients whose last service is recorded

// NewFairScheduler returns a scheduler of limit tickets at once, each for maxHold at most.
func NewFairScheduler(limit int, maxHold time.Duration) *FairScheduler {
	return &FairScheduler{
		limit: max(limit, 1), maxHold: maxHold,
		active: map[uint64]time.Duration{}, lastServed: map[string]time.Duration{},
	}
}

// Request queues a request of a client and returns its ticket, which Grant grants.
func (s *FairScheduler) Request(name string) uint64 {
	s.lastTicket++
	request := waiter{ticket: s.lastTicket, name: name, lastServed: -1}
	if at, known := s.lastServed[name]; known {
		request.lastServed = at
	}
	i, _ := slices.BinarySearchFunc(s.queue, request, func(x, y waiter) int {
		return cmp.Or(cmp.Compare(x.lastServed, y.lastServed), cmp.Compare(x.ticket, y.ticket))
	})
	s.queue = slices.Insert(s.queue, i, request)
	return request.ticket
}

// Release returns a granted ticket, or withdraws a request that was not granted yet.
func (s *FairScheduler) Release(ticket uint64) {
	if _, granted := s.active[ticket]; granted {
		delete(s.active, ticket)
		return
	}
	s.queue = slices.DeleteFunc(s.queue, func(request waiter) bool { return request.ticket == ticket })
}

// Grant grants free tickets to the waiting requests, and takes back those that have expired. It
// returns the tickets granted, and after how long it must be called again at the latest, 0 if no
// request waits.
func (s *FairScheduler) Grant(now time.Duration) (granted []uint64, callAgainIn time.Duration) {
	for ticket, since := range s.active {
		if now-since >= s.maxHold {
			delete(s.active, ticket)
			s.Overdue++
		}
	}
	for len(s.queue) > 0 && len(s.active) < s.limit {
		request := s.queue[0]
		s.queue = s.queue[1:]
		s.active[request.ticket] = now
		if _, known := s.lastServed[request.name]; known || len(s.lastServed) < maxTrackedNames {
			s.lastServed[request.name] = now
		}
		granted = append(granted, request.ticket)
	}
	if len(s.queue) == 0 {
		s.queue = nil
		return granted, 0
	}
	callAgainIn = s.maxHold
	for _, since := range s.active {
		callAgainIn = min(callAgainIn, max(s.maxHold-(now-since), time.Millisecond))
	}
	return granted, callAgainIn
}

// Waiting returns the number of waiting requests.
func (s *FairScheduler) Waiting() int { return len(s.queue) }
