package resultcache

import (
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"robinmast/internal/config"
	"robinmast/internal/exchange"
	"robinmast/internal/settings"
	"robinmast/internal/store"
	"robinmast/internal/store/vfs"
	"robinmast/rules"
)

const testWindow = 300 * time.Millisecond

// openTestCache opens a cache on a disk in memory, for one keyed class.
func openTestCache(t *testing.T) *Cache {
	t.Helper()
	conf := config.Defaults()
	conf.Results.Enabled, conf.Results.Dir = true, "/r"
	c, err := Open(Config{
		Results: conf.Results, Store: conf.Store, FS: vfs.NewMem(false), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Settings: rules.Settings{Classes: []rules.Class{{Effect: rules.Keyed, IdempotencyWindow: testWindow}}},
		Names:    settings.Names{Classes: []string{"pay"}},
		Elapsed:  func() time.Duration { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Restore(0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(time.Second); err != nil {
			t.Error(err)
		}
	})
	return c
}

// keyedRun returns a run under the key "k" whose request arrived when it started.
func keyedRun(txn string, started time.Duration) Run {
	x := &exchange.Exchange{Request: exchange.Request{Txn: txn, ClassName: "pay", Unique: "k"}}
	return Run{Exchange: x, Started: started, Expires: started + testWindow}
}

// write writes everything recorded so far.
func (c *Cache) write(t *testing.T, now time.Duration) {
	t.Helper()
	c.Flush(now)
	if err := c.store.Sync(); err != nil {
		t.Fatal(err)
	}
}

// wantResult checks what Fetch returns for a run under the key "k"; want "" is store.ErrNotFound.
func (c *Cache) wantResult(t *testing.T, run, want string) {
	t.Helper()
	got := make(chan string, 1)
	key := c.RequestKey(keyedRun(run, 0).Exchange).Text()
	c.Fetch(key, run, func(body []byte, err error) {
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			t.Errorf("fetch the result of %s: %v", run, err)
		}
		got <- string(body)
	})
	if body := <-got; body != want {
		t.Errorf("the result of %s is %q, want %q", run, body, want)
	}
}

// Guards against the result of another request: a repeat whose result was still to be read from the disk when a later
// request under its key ran got the later one's result.
func TestFetchReturnsTheResultOfItsRun(t *testing.T) {
	c := openTestCache(t)
	earlier, newer := keyedRun("earlier", 0), keyedRun("newer", 2*testWindow)
	c.StoreIntent(0, earlier, func(error) {})
	c.RunEnded(0, earlier, true, []byte("first"), nil)
	c.write(t, 0)
	c.wantResult(t, "earlier", "first")
	c.StoreIntent(newer.Started, newer, func(error) {})
	c.write(t, newer.Started)
	c.wantResult(t, "earlier", "")
	c.RunEnded(newer.Started, newer, true, []byte("second"), nil)
	c.write(t, newer.Started)
	c.wantResult(t, "earlier", "")
	c.wantResult(t, "newer", "second")
}

// A late end that leaves the record of a later run is counted, and reports that no result is stored.
func TestLateEndIsCounted(t *testing.T) {
	c := openTestCache(t)
	earlier, newer := keyedRun("earlier", 0), keyedRun("newer", 2*testWindow)
	c.StoreIntent(0, earlier, func(error) {})
	c.StoreIntent(newer.Started, newer, func(error) {})
	stored := true
	c.RunEnded(newer.Started, earlier, true, []byte("first"), func(s bool) { stored = s })
	if n := c.Counters.Superseded.Load(); stored || n != 1 || c.Count() != 1 {
		t.Errorf("stored %v, %d superseded, %d records; want false, 1, 1", stored, n, c.Count())
	}
}
