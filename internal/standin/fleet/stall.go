package fleet

import (
	"context"
	"time"
)

// stallCheckInterval is how often longestStall wakes up, which limits how exactly it measures.
const stallCheckInterval = 10 * time.Millisecond

// longestStall returns, once ctx ends, for how long at most the machine did not let this process run. The clients,
// dispatchers and worker pools of a rehearsal run in this process: what they should have done during a stall comes at
// once after it, which overloads nodes that the scenario does not overload.
func longestStall(ctx context.Context) (longest time.Duration) {
	for {
		asleep := time.Now()
		select {
		case <-ctx.Done():
			return longest
		case <-time.After(stallCheckInterval):
			longest = max(longest, time.Since(asleep)-stallCheckInterval)
		}
	}
}
