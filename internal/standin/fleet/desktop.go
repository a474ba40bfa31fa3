package fleet

import (
	"math/rand/v2"
	"time"
)

// request is a desktop's request, with all its tries.
type request struct {
	arrival
	class          *ClassSection
	random         *rand.Rand
	startedAt      time.Time
	idempotencyKey string
	tries          int // sent so far, over all nodes and retries
}

// runRequest sends a request through its dispatcher, and retries with exponential backoff until it is
// served, the retries are used up or the deadline is too near. Unsafe requests are retried only if no
// run can have started.
func (f *Fleet) runRequest(request *request) {
	d := f.dispatchers[request.dispatcher]
	deadline := request.startedAt.Add(request.class.Deadline)
	backoff := f.scenario.Desktops.Backoff
	var result outcome
	for n := 0; ; n++ {
		var retryAfter time.Duration
		result, retryAfter = d.send(request, deadline)
		if result == served || n >= f.scenario.Desktops.Retries ||
			request.class.Effect == "unsafe" && result != refused && result != notSent && result != unreachable {
			break
		}
		pause := backoff
		if f.scenario.Desktops.Jitter {
			pause = time.Duration((0.5 + request.random.Float64()) * float64(backoff))
		}
		if f.scenario.Desktops.HonourRetryAfter {
			pause = max(pause, retryAfter)
		}
		backoff *= 2
		if time.Until(deadline)-pause < minTryTime || f.sleep(pause) != nil {
			break
		}
	}
	took := time.Since(request.startedAt)
	f.record(func(t *tally) {
		if result == served && took <= request.class.LatencyTarget {
			t.Utility += f.utility(request)
			t.InTime++
		}
		t.Requests[result]++
	})
}

// utility returns the utility of a request that is served within its latency target.
func (f *Fleet) utility(request *request) float64 {
	if f.scenario.Fleet.UtilityPerWork {
		return request.class.Utility * request.workMs
	}
	return request.class.Utility
}

// sleep waits for d. It returns an error at once if the rehearsal ends.
func (f *Fleet) sleep(d time.Duration) error {
	select {
	case <-f.ctx.Done():
		return f.ctx.Err()
	case <-time.After(d):
		return nil
	}
}
