package resultcache

import "container/heap"

// expiryHeap is a heap of records by expiry. A heap without setPosition keeps removed records
// until they reach its top or outnumber the records of the module.
type expiryHeap struct {
	items       []*indexedRecord
	setPosition func(*indexedRecord, int)
}

// Len implements heap.Interface.
func (h *expiryHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *expiryHeap) Less(i, j int) bool {
	if h.items[i].Expires != h.items[j].Expires {
		return h.items[i].Expires < h.items[j].Expires
	}
	return h.items[i].key < h.items[j].key
}

// Swap implements heap.Interface.
func (h *expiryHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	if h.setPosition != nil {
		h.setPosition(h.items[i], i)
		h.setPosition(h.items[j], j)
	}
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	record := x.(*indexedRecord)
	if h.setPosition != nil {
		h.setPosition(record, len(h.items))
	}
	h.items = append(h.items, record)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	record := h.items[len(h.items)-1]
	h.items[len(h.items)-1] = nil
	h.items = h.items[:len(h.items)-1]
	return record
}

// peek returns the record that expires first, nil if there is none.
func (h *expiryHeap) peek() *indexedRecord {
	for len(h.items) > 0 {
		if record := h.items[0]; record.position >= 0 {
			return record
		}
		heap.Pop(h)
	}
	return nil
}

// compact discards removed records once they are most of the heap; live is the number of
// records of the module.
func (h *expiryHeap) compact(live int) {
	if len(h.items) < 2*live+64 {
		return
	}
	left := h.items[:0]
	for _, record := range h.items {
		if record.position >= 0 {
			left = append(left, record)
		}
	}
	clear(h.items[len(left):])
	h.items = left
	heap.Init(h)
}
