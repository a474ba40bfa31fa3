package store

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"robinmast/internal/store/vfs"
)

// BenchmarkDurable compares durable writes with a loop that only appends the same number of
// bytes to a file and syncs them in groups of the same size.
//
//	go test ./internal/store -run - -bench Durable -benchtime 2s
func BenchmarkDurable(b *testing.B) {
	value := make([]byte, 256)
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			s, _, err := Open(filepath.Join(b.TempDir(), "store"), Options{Segment: 1 << 30})
			if err != nil {
				b.Fatal(err)
			}
			began := time.Now()
			var wg sync.WaitGroup
			for w := range writers {
				wg.Go(func() {
					for i := w; i < b.N; i += writers {
						if err := s.Put(fmt.Sprintf("key-%08d", i%5000), value, 0, Durable); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			took := time.Since(began)
			group := max(1, float64(s.Stats.Batches.Load())/float64(s.Stats.Syncs.Load()))
			per := int(s.Stats.Bytes.Load()) / b.N
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			f, err := vfs.OS{}.Create(filepath.Join(b.TempDir(), "bare"))
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			buf := make([]byte, int(group*float64(per)))
			syncs := int(float64(b.N) / group)
			began = time.Now()
			for i := range max(syncs, 1) {
				if _, err := f.WriteAt(buf, int64(i*len(buf))); err != nil {
					b.Fatal(err)
				}
				if err := f.Sync(); err != nil {
					b.Fatal(err)
				}
			}
			bare := time.Since(began)
			b.ReportMetric(float64(b.N)/took.Seconds(), "writes/s")
			b.ReportMetric(float64(max(syncs, 1))*group/bare.Seconds(), "bare/s")
			b.ReportMetric(bare.Seconds()/took.Seconds(), "of-bare")
			b.ReportMetric(group, "group")
		})
	}
}

// BenchmarkMillion measures reads from a store of 1,000,000 entries, and its recovery.
//
//	go test ./internal/store -run - -bench Million -benchtime 200000x
func BenchmarkMillion(b *testing.B) {
	const n = 1_000_000
	dir := filepath.Join(b.TempDir(), "store")
	s, _, err := Open(dir, Options{Segment: 64 << 20})
	if err != nil {
		b.Fatal(err)
	}
	value := make([]byte, 100)
	for i := 0; i < n; i += 100 {
		var batch Batch
		for j := range 100 {
			batch.Put(fmt.Sprintf("tenant/class/%08d", i+j), value, 0)
		}
		if err := s.Apply(&batch, Soon); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Sync(); err != nil {
		b.Fatal(err)
	}
	latencies := hdrhistogram.New(1, int64(time.Second), 3)
	for range b.N {
		key := fmt.Sprintf("tenant/class/%08d", rand.IntN(n))
		began := time.Now()
		if _, err := s.Get(key); err != nil {
			b.Fatal(err)
		}
		_ = latencies.RecordValue(int64(time.Since(began))) // values above one second are not recorded
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "get-p50-ns")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "get-p99-ns")
	// Recovery of the files as a killed process leaves them, without and with a checkpoint.
	for _, name := range []string{"log", "checkpoint"} {
		if name == "checkpoint" {
			if err := s.Checkpoint(); err != nil {
				b.Fatal(err)
			}
		}
		copied := filepath.Join(b.TempDir(), name)
		if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
			b.Fatal(err)
		}
		if name == "log" {
			checkpoints, _ := filepath.Glob(filepath.Join(copied, "*"+checkpointSuffix))
			for _, c := range checkpoints {
				if err := os.Remove(c); err != nil {
					b.Fatal(err)
				}
			}
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, rec, err := Open(copied, Options{Segment: 64 << 20})
		if err != nil || rec.Entries != n {
			b.Fatalf("%+v, %v", rec, err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(rec.Took.Seconds(), "open-"+name+"-s")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n-21, "index-B/key") // without the 21 bytes of the key
		b.ReportMetric(float64(after.Sys)/(1<<20), "from-os-MB")
		if err := r.Close(); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
}
