package stream

// minRingBytes is the size that a ring starts with and shrinks back to.
const minRingBytes = 1 << 10

// Ring is a byte queue in one circular buffer. It allocates no memory until it is first used, doubles up to its
// limit, and shrinks once it is empty. It is not safe for concurrent use, with one exception that the writer of
// Conn relies on: bytes returned by Front stay unchanged until they are discarded, even while others are
// appended.
type Ring struct {
	buf         []byte
	head, count int // index of the oldest byte, and number of bytes queued
	limit       int // bytes
}

// NewRing returns an empty ring for at most limit bytes.
func NewRing(limit int) *Ring { return &Ring{limit: limit} }

// Len returns the number of bytes queued.
func (q *Ring) Len() int { return q.count }

// Cap returns the size of the ring's buffer in bytes.
func (q *Ring) Cap() int { return len(q.buf) }

// Space returns free space to read into, at least one byte unless the ring is at its limit. Commit then queues
// the bytes stored there.
func (q *Ring) Space() []byte {
	if q.count == len(q.buf) {
		q.grow(q.count + 1)
	}
	if q.count == len(q.buf) {
		return nil
	}
	tail := q.head + q.count
	if tail >= len(q.buf) {
		return q.buf[tail-len(q.buf) : q.head]
	}
	return q.buf[tail:]
}

// Commit queues the first n bytes of what Space returned.
func (q *Ring) Commit(n int) { q.count += n }

// Append queues all of p and returns true, or queues nothing and returns false if that would exceed the limit.
func (q *Ring) Append(p []byte) bool {
	if q.count+len(p) > q.limit {
		return false
	}
	if q.count+len(p) > len(q.buf) {
		q.grow(q.count + len(p))
	}
	for len(p) > 0 {
		n := copy(q.Space(), p)
		q.Commit(n)
		p = p[n:]
	}
	return true
}

// grow enlarges the buffer to hold need bytes, but not beyond the limit.
func (q *Ring) grow(need int) {
	size := max(len(q.buf), minRingBytes)
	for size < need {
		size *= 2
	}
	size = min(size, q.limit)
	if size <= len(q.buf) {
		return
	}
	buf := make([]byte, size)
	n := copy(buf, q.Front())
	if n < q.count {
		copy(buf[n:], q.buf[:q.count-n])
	}
	q.buf, q.head = buf, 0
}

// Front returns the queued bytes from the oldest on that are contiguous in memory.
func (q *Ring) Front() []byte {
	return q.buf[q.head:min(q.head+q.count, len(q.buf))]
}

// Discard removes the n oldest bytes.
func (q *Ring) Discard(n int) {
	q.count -= n
	q.head += n
	if q.head >= len(q.buf) && q.head > 0 {
		q.head -= len(q.buf)
	}
	if q.count == 0 {
		q.head = 0
		if len(q.buf) > minRingBytes {
			q.buf = nil
		}
	}
}
