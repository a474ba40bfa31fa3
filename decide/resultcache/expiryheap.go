package resultcache

import "container/heap"

// ages is a heap of entries by expiry. Entries that left may linger in those
// that note no places, until they come up or outnumber what is held.
type ages struct {
	list  []*held
	place func(*held, int)
}

func (a *ages) Len() int { return len(a.list) }
func (a *ages) Less(i, j int) bool {
	if a.list[i].Expires != a.list[j].Expires {
		return a.list[i].Expires < a.list[j].Expires
	}
	return a.list[i].key < a.list[j].key
}

func (a *ages) Swap(i, j int) {
	a.list[i], a.list[j] = a.list[j], a.list[i]
	if a.place != nil {
		a.place(a.list[i], i)
		a.place(a.list[j], j)
	}
}

// Push is for container/heap.
func (a *ages) Push(x any) {
	h := x.(*held)
	if a.place != nil {
		a.place(h, len(a.list))
	}
	a.list = append(a.list, h)
}

// Pop is for container/heap.
func (a *ages) Pop() any {
	h := a.list[len(a.list)-1]
	a.list[len(a.list)-1] = nil
	a.list = a.list[:len(a.list)-1]
	return h
}

// first is the entry that expires soonest, nil if there is none.
func (a *ages) first() *held {
	for len(a.list) > 0 {
		if h := a.list[0]; h.place >= 0 {
			return h
		}
		heap.Pop(a)
	}
	return nil
}

// trim throws out entries that left, once they are most of the heap.
func (a *ages) trim(live int) {
	if len(a.list) < 2*live+64 {
		return
	}
	kept := a.list[:0]
	for _, h := range a.list {
		if h.place >= 0 {
			kept = append(kept, h)
		}
	}
	clear(a.list[len(kept):])
	a.list = kept
	heap.Init(a)
}
