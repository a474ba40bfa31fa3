package node

import "time"

// maxRecentRuns bounds the names in recentRuns, of about 90 bytes each. If it is reached, the oldest is forgotten.
const maxRecentRuns = 8 << 10

// recentRuns holds the transaction names of unsafe requests whose runs were started. A request whose name is among
// them is the same try again, as from a client that left and sends its requests anew on another connection, and must
// not run a second time. No key links such requests: their name does, which the protocol gives to one try only.
type recentRuns struct {
	expires map[string]time.Duration // by name
	oldest  []recentRun              // in the order in which they were added
}

// recentRun is a name that was added to recentRuns. It is outdated if expires is not that in the map.
type recentRun struct {
	name    string
	expires time.Duration
}

// add adds the name of a run that starts, to be found until expires.
func (r *recentRuns) add(name string, expires time.Duration) {
	if r.expires == nil {
		r.expires = map[string]time.Duration{}
	}
	if len(r.oldest) >= maxRecentRuns {
		r.evictOldest()
	}
	r.expires[name] = expires
	r.oldest = append(r.oldest, recentRun{name, expires})
}

// remove removes the name of a run that never started.
func (r *recentRuns) remove(name string) { delete(r.expires, name) }

// contains reports whether the run of a request with this name was started.
func (r *recentRuns) contains(name string) bool {
	_, found := r.expires[name]
	return found
}

// removeExpired forgets the names that were to be found until now at most.
func (r *recentRuns) removeExpired(now time.Duration) {
	for len(r.oldest) > 0 && r.oldest[0].expires <= now {
		r.evictOldest()
	}
}

// evictOldest forgets the name that was added first.
func (r *recentRuns) evictOldest() {
	first := r.oldest[0]
	if r.expires[first.name] == first.expires {
		delete(r.expires, first.name)
	}
	if r.oldest = r.oldest[1:]; len(r.oldest) == 0 {
		r.oldest = nil
	}
}
