package resultcache

import "container/heap"

// ages is a heap of entries by expiry. Entries that left may linger in those
// that note no places, until they come up or outnumber what is held.
type expiryHeap struct {
	items       []*indexedRecord
	setPosition func(*indexedRecord, int)
}

func (a *expiryHeap) Len() int { return len(a.items) }
func (a *expiryHeap) Less(i, j int) bool {
	if a.items[i].Expires != a.items[j].Expires {
		return a.items[i].Expires < a.items[j].Expires
	}
	return a.items[i].key < a.items[j].key
}

func (a *expiryHeap) Swap(i, j int) {
	a.items[i], a.items[j] = a.items[j], a.items[i]
	if a.setPosition != nil {
		a.setPosition(a.items[i], i)
		a.setPosition(a.items[j], j)
	}
}

// Push is for container/heap.
func (a *expiryHeap) Push(x any) {
	h := x.(*indexedRecord)
	if a.setPosition != nil {
		a.setPosition(h, len(a.items))
	}
	a.items = append(a.items, h)
}

// Pop is for container/heap.
func (a *expiryHeap) Pop() any {
	h := a.items[len(a.items)-1]
	a.items[len(a.items)-1] = nil
	a.items = a.items[:len(a.items)-1]
	return h
}

// first is the entry that expires soonest, nil if there is none.
func (a *expiryHeap) peek() *indexedRecord {
	for len(a.items) > 0 {
		if h := a.items[0]; h.position >= 0 {
			return h
		}
		heap.Pop(a)
	}
	return nil
}

// trim throws out entries that left, once they are most of the heap.
func (a *expiryHeap) compact(live int) {
	if len(a.items) < 2*live+64 {
		return
	}
	kept := a.items[:0]
	for _, h := range a.items {
		if h.position >= 0 {
			kept = append(kept, h)
		}
	}
	clear(a.items[len(kept):])
	a.items = kept
	heap.Init(a)
}
