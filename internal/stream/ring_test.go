package stream

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

// The ring behaves like a plain queue while it wraps around, grows and shrinks.
func TestRingIsAQueue(t *testing.T) {
	const limit = 5 << 10
	rng := rand.New(rand.NewPCG(1, 2))
	q := NewRing(limit)
	var want []byte
	next := byte(0)
	fill := func(p []byte) {
		for i := range p {
			p[i] = next
			next++
		}
	}
	for range 20000 {
		switch rng.IntN(3) {
		case 0:
			p := make([]byte, rng.IntN(900))
			fill(p)
			if ok := q.Append(p); ok != (len(want)+len(p) <= limit) {
				t.Fatalf("append of %d to %d: %v", len(p), len(want), ok)
			} else if ok {
				want = append(want, p...)
			}
		case 1:
			s := q.Space()
			if (len(s) == 0) != (len(want) == limit) {
				t.Fatalf("%d bytes of space with %d of %d queued", len(s), len(want), limit)
			}
			n := rng.IntN(len(s) + 1)
			fill(s[:n])
			q.Commit(n)
			want = append(want, s[:n]...)
		case 2:
			front := q.Front()
			if !bytes.HasPrefix(want, front) || len(front) == 0 && len(want) > 0 {
				t.Fatalf("front of %d bytes is not what was queued", len(front))
			}
			n := rng.IntN(len(front) + 1)
			q.Discard(n)
			want = want[n:]
		}
		if q.Len() != len(want) || q.Cap() > limit {
			t.Fatalf("%d bytes queued, want %d; %d allocated", q.Len(), len(want), q.Cap())
		}
	}
}

// An empty ring frees the memory that a burst made it allocate. Otherwise a thousand connections that were busy
// once would keep theirs.
func TestRingShrinks(t *testing.T) {
	q := NewRing(64 << 10)
	if q.Cap() != 0 {
		t.Fatalf("%d bytes allocated before the first use", q.Cap())
	}
	q.Append(make([]byte, 50<<10))
	q.Discard(50 << 10)
	if q.Cap() > minRingBytes {
		t.Fatalf("%d bytes allocated while empty", q.Cap())
	}
}
