package store

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"robinmast/internal/store/vfs"
)

const dir = "/s" // of the store, in memory

// harness is a store under test with its disk, its clock and a model of its contents.
type harness struct {
	t        *testing.T
	disk     *vfs.Mem
	now      int64
	salt     uint64
	s        *Store
	model    map[string]string // key to value
	expiries map[string]int64  // key to expiry, for keys that have one
}

func (h *harness) options() Options {
	return Options{
		FS: h.disk, SlackBytes: 4 << 10, Manual: true, Now: func() int64 { return h.now },
		Salt: func() uint64 { h.salt += 0x9e3779b97f4a7c15; return h.salt },
	}
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, disk: vfs.NewMem(true), now: 1000, model: map[string]string{}, expiries: map[string]int64{},
	}
	h.open()
	return h
}

// open opens the store on the disk of the harness.
func (h *harness) open() Recovery {
	h.t.Helper()
	s, rec, err := Open(dir, h.options())
	if err != nil {
		h.t.Fatal(err)
	}
	h.s = s
	return rec
}

// contents returns all keys and values of a store, and checks their order.
func contents(t *testing.T, s *Store) map[string]string {
	t.Helper()
	all := map[string]string{}
	last := ""
	err := s.Scan("", nil, func(e Entry) error {
		if e.Key <= last && last != "" {
			t.Errorf("key %q after %q", e.Key, last)
		}
		last = e.Key
		all[e.Key] = string(e.Value)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// expected returns what the model holds now.
func (h *harness) expected() map[string]string {
	m := map[string]string{}
	for k, v := range h.model {
		if e := h.expiries[k]; e == 0 || e > h.now {
			m[k] = v
		}
	}
	return m
}

// apply writes one batch of keys and values, and updates the model. An empty value
// deletes the key.
func (h *harness) apply(d Durability, pairs ...string) {
	h.t.Helper()
	var b Batch
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			b.Delete(pairs[i])
		} else {
			b.Put(pairs[i], []byte(pairs[i+1]), 0)
		}
	}
	if err := h.s.Apply(&b, d); err != nil {
		h.t.Fatal(err)
	}
	for i := 0; i < len(pairs); i += 2 {
		delete(h.expiries, pairs[i])
		if h.model[pairs[i]] = pairs[i+1]; pairs[i+1] == "" {
			delete(h.model, pairs[i])
		}
	}
}

// acknowledgedState is the contents after an acknowledged write, and when it was.
type acknowledgedState struct {
	operations int
	now        int64
	state      map[string]string
	expiries   map[string]int64
}

// contentsAt returns the keys and values that have not expired at a time.
func (s acknowledgedState) contentsAt(now int64) map[string]string {
	m := map[string]string{}
	for k, v := range s.state {
		if e := s.expiries[k]; e == 0 || e > now {
			m[k] = v
		}
	}
	return m
}

// workload runs overwrites, deletions, expiring writes, compactions and restarts. Writes are
// durable, or with withBuffered partly Buffered. Each batch sets or deletes a key and the same key
// with the prefix "m". It returns the states in the order of acknowledgement.
func workload(h *harness, withBuffered bool, batches int) []acknowledgedState {
	random := rand.New(rand.NewPCG(7, 7))
	var steps []acknowledgedState
	recordState := func() {
		steps = append(steps, acknowledgedState{h.disk.Ops(), h.now, maps.Clone(h.model), maps.Clone(h.expiries)})
	}
	recordState()
	for i := range batches {
		durability := Durable
		if withBuffered && random.IntN(3) > 0 {
			durability = Buffered
		}
		k := fmt.Sprintf("k%02d", random.IntN(12))
		v := fmt.Sprintf("v%d-%s", i, strings.Repeat("x", random.IntN(40)))
		switch random.IntN(8) {
		case 0: // deletion of both keys
			h.apply(durability, k, "", "m"+k, "")
		case 1: // with an expiry
			var b Batch
			b.Put(k, []byte(v), h.now+20)
			b.Put("m"+k, []byte(v), h.now+20)
			if err := h.s.Apply(&b, durability); err != nil {
				h.t.Fatal(err)
			}
			for _, key := range []string{k, "m" + k} {
				h.model[key], h.expiries[key] = v, h.now+20
			}
		default:
			h.apply(durability, k, v, "m"+k, v)
		}
		recordState()
		if random.IntN(3) == 0 {
			h.now += 7
		}
		if i%17 == 11 {
			if err := h.s.Compact(context.Background()); err != nil {
				h.t.Fatal(err)
			}
			recordState()
		}
		if i%23 == 20 {
			if err := h.s.Close(); err != nil {
				h.t.Fatal(err)
			}
			h.open()
			recordState()
		}
	}
	return steps
}

// difference lists the keys whose values differ.
func difference(got, want map[string]string) (d []string) {
	for k, v := range got {
		if w, ok := want[k]; w != v || !ok {
			d = append(d, fmt.Sprintf("%q is %.12q, want %.12q", k, v, w))
		}
	}
	for k, w := range want {
		if _, ok := got[k]; !ok {
			d = append(d, fmt.Sprintf("%q is missing, want %.12q", k, w))
		}
	}
	slices.Sort(d)
	return d
}

// reopen opens the store on what a crash left, at a time in Unix milliseconds.
func reopen(t *testing.T, disk *vfs.Mem, now int64) (*Store, Recovery) {
	t.Helper()
	salt := uint64(now) * 977
	s, rec, err := Open(dir, Options{
		FS: disk, SlackBytes: 4 << 10, Manual: true,
		Now: func() int64 { return now }, Salt: func() uint64 { salt++; return salt },
	})
	if err != nil {
		t.Fatal(err)
	}
	return s, rec
}
