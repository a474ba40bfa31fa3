package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// Writers, readers, compaction, checkpoints and sweeps run concurrently. A writer must read
// its acknowledged writes, a scan must see whole batches only, and the store must have the
// last value of each key after a restart, with and without a checkpoint.
func TestConcurrent(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	for incarnation := range 3 {
		s, rec, err := Open(dir, Options{SlackBytes: 64 << 10})
		if err != nil {
			t.Fatal(err)
		}
		if len(rec.Damaged)+len(rec.Torn) > 0 {
			t.Fatalf("incarnation %d: %+v", incarnation, rec)
		}
		const writers = 8
		want := make([]map[string]string, writers)
		var wg sync.WaitGroup
		for n := range writers {
			r := rand.New(rand.NewPCG(uint64(incarnation), uint64(n)))
			expected := map[string]string{}
			want[n] = expected
			prefix := fmt.Sprintf("%d/", n)
			err := s.Scan(prefix, nil, func(e Entry) error {
				expected[e.Key] = string(e.Value)
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			wg.Go(func() {
				for i := range 600 {
					k := fmt.Sprintf("%s%d", prefix, r.IntN(30))
					v := fmt.Sprintf("%d-%d-%s", incarnation, i, strings.Repeat("x", r.IntN(200)))
					var b Batch
					if r.IntN(5) == 0 {
						b.Delete(k)
						b.Delete(k + "m")
						delete(expected, k)
						delete(expected, k+"m")
					} else {
						b.Put(k, []byte(v), 0)
						b.Put(k+"m", []byte(v), 0)
						expected[k], expected[k+"m"] = v, v
					}
					if err := s.Apply(&b, Durability(r.IntN(2))); err != nil {
						t.Error(err)
						return
					}
					got, err := s.Get(k)
					if w, ok := expected[k]; ok && string(got) != w || !ok && !errors.Is(err, ErrNotFound) {
						t.Errorf("Get of %s returned %.20q, %v, want %.20q", k, got, err, w)
						return
					}
				}
			})
		}
		stop := make(chan struct{})
		var background sync.WaitGroup
		background.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				last := map[string]string{}
				if err := s.Scan("", nil, func(e Entry) error { last[e.Key] = string(e.Value); return nil }); err != nil {
					t.Error(err)
					return
				}
				for k, v := range last {
					if !strings.HasSuffix(k, "m") && last[k+"m"] != v {
						t.Errorf("a scan returned part of the batch of %s", k)
						return
					}
				}
				s.sweep()
				if err := s.Checkpoint(); err != nil {
					t.Error(err)
				}
			}
		})
		wg.Wait()
		close(stop)
		background.Wait()
		if s.Stats.Compactions.Load() == 0 {
			t.Error("no segment was compacted")
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		s, _, err = Open(dir, Options{SlackBytes: 64 << 10, ignoreCheckpoint: incarnation%2 == 0})
		if err != nil {
			t.Fatal(err)
		}
		all := map[string]string{}
		for _, m := range want {
			maps.Copy(all, m)
		}
		if got := contents(t, s); !maps.Equal(got, all) {
			t.Fatalf("incarnation %d: %v", incarnation, difference(got, all))
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Compaction may remove live bytes from the active segment while the writer looks for garbage in it. Under the
// race detector this test fails if the writer reads them without the lock.
func TestWriterLooksForSpaceDuringRelocations(t *testing.T) {
	s, _, err := Open(filepath.Join(t.TempDir(), "store"), Options{SlackBytes: 4 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	stop := make(chan struct{})
	var relocations sync.WaitGroup
	relocations.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			s.mu.Lock()
			for id := range s.segments {
				it := item{key: "k", segmentID: id}
				s.addLiveBytes(&it, 1)
				s.addLiveBytes(&it, -1)
			}
			s.mu.Unlock()
		}
	})
	var b Batch
	b.Put("k", []byte(strings.Repeat("x", 600)), 0) // most of a segment, and no garbage: the segment stays active
	if err := s.Apply(&b, Buffered); err != nil {
		t.Fatal(err)
	}
	const excess = 1 << 20 // keeps the store over its bound, so that the writer looks for garbage
	s.mu.Lock()
	s.diskBytes += excess
	s.mu.Unlock()
	for range 4 {
		if err := s.runInWriter(func() error { s.waitForSpace(nil); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	s.mu.Lock()
	s.diskBytes -= excess
	s.mu.Unlock()
	close(stop)
	relocations.Wait()
}
