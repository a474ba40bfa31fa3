package node

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Bounds of the memory that waits for the loop.
const (
	// defaultIntakeBytes is the bound if Config.IntakeBytes is 0.
	defaultIntakeBytes = 1 << 20
	// eventOverheadBytes is what a request takes in memory besides its body and names: its
	// exchange, its other fields, the events of its arrival and its end, and the spare
	// capacity of the event queue.
	eventOverheadBytes = 1 << 10
)

// intake bounds the memory of what was read from connections and waits for the loop's next
// batch. A reader whose input does not fit waits, in the order of arrival, so that a peer
// that sends without pause delays no other one by more than its share. While a reader waits,
// the kernel makes its peer wait.
type intake struct {
	waits  atomic.Int64 // inputs that had to wait
	limit  int64        // bytes
	bytes  *semaphore.Weighted
	closed context.Context // ends when the loop takes no more input
	close  context.CancelFunc
}

// newIntake returns an intake of limit bytes, or of defaultIntakeBytes if limit is 0.
func newIntake(limit int) *intake {
	if limit <= 0 {
		limit = defaultIntakeBytes
	}
	k := &intake{limit: int64(limit), bytes: semaphore.NewWeighted(int64(limit))}
	k.closed, k.close = context.WithCancel(context.Background())
	return k
}

// admit waits until input of this size fits, and returns how many bytes to release once the
// loop has handled it. After close it returns at once.
func (k *intake) admit(size int) (charged int64) {
	charged = min(int64(size), k.limit)
	if k.bytes.TryAcquire(charged) {
		return charged
	}
	k.waits.Add(1)
	if k.bytes.Acquire(k.closed, charged) != nil {
		return 0
	}
	return charged
}

// hasRoom reports whether input of this size fits now.
func (k *intake) hasRoom(size int) bool {
	charge := min(int64(size), k.limit)
	if !k.bytes.TryAcquire(charge) {
		return false
	}
	k.bytes.Release(charge)
	return true
}

// release returns bytes that admit has charged.
func (k *intake) release(charged int64) {
	if charged > 0 {
		k.bytes.Release(charged)
	}
}
