package store

import "fmt"

// Batch is a set of changes that take effect together. The zero value is empty.
type Batch struct {
	ops  []op
	size int
}

// Put sets a key; expiry is in Unix milliseconds, 0 = never. The value must not be
// changed until the batch is applied.
func (b *Batch) Put(key string, value []byte, expiry int64) {
	b.add(op{key: key, value: value, expiry: expiry})
}

// Delete removes a key.
func (b *Batch) Delete(key string) { b.add(op{key: key, delete: true}) }

// add appends an operation and its size.
func (b *Batch) add(o op) {
	b.ops = append(b.ops, o)
	b.size += o.size()
}

// Len returns the number of changes.
func (b *Batch) Len() int { return len(b.ops) }

// check verifies the limits of the batch, its keys and its values.
func (b *Batch) check() error {
	if b.size > MaxBatch {
		return fmt.Errorf("batch of %d bytes: %w", b.size, ErrTooLarge)
	}
	for i := range b.ops {
		if o := &b.ops[i]; len(o.key) > MaxKey || len(o.value) > MaxValue {
			return fmt.Errorf("key of %d bytes with a value of %d: %w", len(o.key), len(o.value), ErrTooLarge)
		}
	}
	return nil
}
