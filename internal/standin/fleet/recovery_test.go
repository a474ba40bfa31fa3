package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"robinmast/decide/resultcache"
	"robinmast/internal/store"
	"robinmast/rules"
)

// lostResults is a scenario in which nodes are killed with their pools while their answers do not reach
// the dispatchers. After the restart clients repeat requests that have run, which the node
// knows only from its results directory. The arguments are the number of nodes, the value of [fleet] comeback and
// the state of the directory.
const lostResults = `
[fleet]
nodes = %d
control = 1
results = true
comeback = %s
seconds = 7
cold_ramp = 1s
[load]
steps = 0s 0.8
[dispatchers]
count = 3
walk = 0
try = 600ms
[desktops]
retries = 4
[class.pay]
share = 0.8
effect = keyed
deadline = 4s
[class.read]
share = 0.2
[fault.mute]
at = 2500ms
for = 1s
what = cut_down
link = dispatchers -> nodes
[fault.crash]
at = 3s
for = 300ms
what = kill
on = nodes
folder = %s
`

// Guards against keyed requests that run again. A restarted node finds its results directory empty, replaced by an older copy, or swapped with another
// node's. With [comeback] it detects the loss, since the control service knows the previous incarnation,
// and no keyed request runs a second time within its window; without [comeback] some do. A directory
// that is unchanged counts as complete.
func TestLostResultsAreInDoubt(t *testing.T) {
	opt := build(t)
	for _, c := range []struct {
		folder, logged string
		nodes          int
	}{
		{"empty", "the results directory was empty, but an earlier incarnation reported a store", 1},
		{"old", "it is an older copy", 1},
		{"swap", "memory lost", 2},
	} {
		t.Run(c.folder, func(t *testing.T) {
			t.Parallel()
			plain, repeats := runWithKeyedCaller(t, scenario(t, fmt.Sprintf(lostResults, c.nodes, "off", c.folder)), opt)
			if plain.RanAgainAfterRestart < keysPerNode || repeats.otherResult < keysPerNode {
				t.Errorf("without [comeback] %d requests ran again, %d of the stated keys: the fault has no effect",
					plain.RanAgainAfterRestart, repeats.otherResult)
			}
			opt := opt
			var log string
			opt.LogDir = t.ArtifactDir()
			r, repeats := runWithKeyedCaller(t, scenario(t, fmt.Sprintf(lostResults, c.nodes, "on", c.folder)), opt)
			for i := range c.nodes {
				log += nodeLog(t, opt.LogDir, i)
			}
			if r.RanAgainAfterRestart > 0 || repeats.otherResult > 0 || repeats.failed < keysPerNode ||
				!strings.Contains(log, c.logged) {
				t.Errorf("%d requests ran again, repeats %+v; the nodes logged %s",
					r.RanAgainAfterRestart, repeats, matchingLines(log, "memory"))
			}
		})
	}
	t.Run("keep", func(t *testing.T) {
		t.Parallel()
		opt := opt
		opt.LogDir = t.ArtifactDir()
		r, repeats := runWithKeyedCaller(t, scenario(t, fmt.Sprintf(lostResults, 1, "on", "keep")), opt)
		if log := nodeLog(t, opt.LogDir, 0); r.RanAgainAfterRestart > 0 || repeats.sameResult != keysPerNode ||
			strings.Contains(log, "memory lost") {
			t.Errorf("%d requests ran again, repeats %+v; the node logged %s",
				r.RanAgainAfterRestart, repeats, matchingLines(log, "memory"))
		}
	})
}

// matchingLines returns the lines that contain word.
func matchingLines(text, word string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		if strings.Contains(line, word) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// eventView is an event of a control service's GET /events.
type eventView struct {
	Number, Lost, Of int
	Least            float64 `json:"least_room"`
	HalfS            float64 `json:"half_after_s"`
	MostS            float64 `json:"most_after_s"`
	FullS            float64 `json:"full_after_s"`
	Tries            float64 `json:"tries_a_first_try"`
	Over             bool
}

// fullServiceLine matches the log line of a node that is back in full service.
var fullServiceLine = regexp.MustCompile(`back in full service after`)

// All nodes are killed with their pools at 0.9 of the capacity and restart cold. Each node logs its return
// to full service, and the control service records one event whose capacities and recovery times fit what
// clients measure. A start may take 6 s to full service, 2 s of probing and 4 s of warming up, so the nodes
// are killed only after that.
func TestAllKilledIsMeasured(t *testing.T) {
	s := scenario(t, `
[fleet]
nodes = 6
control = 1
comeback = on
seconds = 16
[load]
steps = 0s 0.9
[dispatchers]
walk = 5
[fault.killed]
at = 7s
for = 1s
what = kill
on = nodes
`+twoClasses)
	opt := build(t)
	opt.LogDir = t.ArtifactDir()
	var last []eventView
	stop := pollServices(&opt, func(ctx context.Context, _ int, addr string, _ time.Duration) {
		if v, err := fetch[[]eventView](ctx, addr, "/events"); err == nil {
			last = v
		}
	})
	r := run(t, s, opt)
	stop()
	for i := range s.Fleet.Nodes {
		if n := len(fullServiceLine.FindAllString(nodeLog(t, opt.LogDir, i), -1)); n != 2 {
			t.Errorf("node %d logged %d times that it is back in full service, want 2", i+1, n)
		}
	}
	if len(last) != 1 {
		t.Fatalf("%d events were recorded: %+v", len(last), last)
	}
	e := last[0]
	if e.Lost != 6 || e.Of != 6 || !e.Over || e.Least > 0.5 ||
		e.HalfS <= 0 || e.MostS < e.HalfS || e.FullS < e.MostS || e.FullS > 7 {
		t.Errorf("recorded event: %+v", e)
	}
	if r.RecoveryTime < 0 || r.RecoveryTime > 5 { // the pools are warm after 3 s; 2 s more are allowed
		t.Errorf("recovered after %.1f s", r.RecoveryTime)
	}
	after, _ := r.Between(8, 16)
	if tries := after.triesPerFirstTry(); tries > 1.5 {
		t.Errorf("%.2f tries per first try after the restart", tries)
	}
}

// A restarted node uses its warm-start snapshot. If it turns out ten times as fast as the snapshot says,
// it discards the snapshot.
func TestSnapshotUsedOrDropped(t *testing.T) {
	const text = `
[fleet]
nodes = 2
comeback = snapshot
seconds = 9
cold_from = %s
cold_ramp = %s
[load]
steps = 0s 0.5
[fault.crash]
at = 4s
for = 300ms
what = kill
on = nodes
%s
` + twoClasses
	opt := build(t)
	for _, c := range []struct{ name, from, ramp, fault, logged, notLogged string }{
		{"accurate", "0.99", "100ms", "", "snapshot taken up", "snapshot dropped"},
		{
			"wrong", "0.99", "100ms", "[fault.slow]\nat = 0s\nfor = 3900ms\nwhat = slow\nfactor = 10\non = nodes\n",
			"snapshot dropped", "",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			opt := opt
			opt.LogDir = t.ArtifactDir()
			run(t, scenario(t, fmt.Sprintf(text, c.from, c.ramp, c.fault)), opt)
			for i := range 2 {
				log := nodeLog(t, opt.LogDir, i)
				if !strings.Contains(log, c.logged) || c.notLogged != "" && strings.Contains(log, c.notLogged) {
					t.Errorf("node %d logged %s", i+1, matchingLines(log, "snapshot"))
				}
			}
		})
	}
}

// nodeLog returns a node's log, as copied to dir.
func nodeLog(t *testing.T, dir string, node int) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("n%d.log", node+1)))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The control service restarts after the node whose results directory was emptied, or replaced by an older copy. It
// has stored the node's previous incarnation, and until the node learns of that, it treats repeated requests as in
// doubt.
func TestControlServiceReturnsLater(t *testing.T) {
	opt := build(t)
	for _, c := range []struct{ folder, away, logged string }{
		{"empty", "1s", "an earlier incarnation reported"},
		{"old", "1500ms", "it is an older copy"},
	} {
		t.Run(c.folder, func(t *testing.T) {
			opt := opt
			opt.LogDir = t.ArtifactDir()
			text := strings.Replace(fmt.Sprintf(lostResults, 1, "on", c.folder), "seconds = 7", "seconds = 9", 1) +
				"[fault.control]\nat = 2900ms\nfor = " + c.away + "\nwhat = kill\non = control\n"
			r, repeats := runWithKeyedCaller(t, scenario(t, text), opt)
			log := nodeLog(t, opt.LogDir, 0)
			if r.RanAgainAfterRestart > 0 || repeats.failed != keysPerNode || !strings.Contains(log, c.logged) {
				t.Errorf("%d requests ran again, repeats %+v; the node logged %s",
					r.RanAgainAfterRestart, repeats, matchingLines(log, "memory"))
			}
		})
	}
}

// Two nodes are restarted again and again while they warm up, and a third crashes at every start. The
// others keep serving, and in the end all nodes are back in full service.
func TestRepeatedRestarts(t *testing.T) {
	s, err := Load("../../../rehearsals/overtaken.ini")
	if err != nil {
		t.Fatal(err)
	}
	opt := build(t)
	opt.LogDir = t.ArtifactDir()
	r := runUndisturbed(t, s, opt)
	if r.ServedShare < 0.95 || r.RecoveryTime < 0 || r.RecoveryTime > 2 {
		t.Errorf("%.3f served, recovered after %.1f s", r.ServedShare, r.RecoveryTime)
	}
	for i := range s.Fleet.Nodes {
		lines := strings.Split(strings.TrimSpace(nodeLog(t, opt.LogDir, i)), "\n")
		if text := strings.Join(lines[max(len(lines)-40, 0):], "\n"); !fullServiceLine.MatchString(text) {
			t.Errorf("node %d is not back in full service at the end", i+1)
		}
	}
}

// Nodes with many cached results restore them from one disk at the same time. Every node restores all of
// them within 5 s, and the fleet recovers. With -fleet.long, 24 nodes restore 100,000 results each.
func TestManyResultsOnOneDisk(t *testing.T) {
	nodes, results := 3, 5_000
	if *fullSize {
		nodes, results = 24, 100_000
	}
	s := scenario(t, fmt.Sprintf("[fleet]\nnodes = %d\ncores = 1\nresults = true\ncomeback = on\nseconds = 8\n"+
		"memory_mb = 192\n[load]\nsteps = 0s 0.4\n[dispatchers]\nwalk = 2\n"+
		"[class.pay]\nshare = 0.5\nms = 20\neffect = keyed\n[class.read]\nshare = 0.5\nms = 20\n"+
		"[fault.killed]\nat = 3s\nfor = 200ms\nwhat = kill\non = nodes\n", nodes))
	opt := build(t)
	opt.LogDir = t.ArtifactDir()
	// A node whose result cache is full of keyed records accepts no further ones.
	opt.NodeSettings = map[string]string{"results": "entries = 400000\nbytes = 256MB"}
	opt.Prepare = func(_ int, dir string) error { return fillResults(filepath.Join(dir, "results"), results) }
	r := run(t, s, opt)
	restored := regexp.MustCompile(`"remembered results".* kept=(\d+) .*recovery=(\S+) restore=(\S+)`)
	var slowest time.Duration
	for i := range nodes {
		starts := restored.FindAllStringSubmatch(nodeLog(t, opt.LogDir, i), -1)
		if len(starts) != 2 {
			t.Fatalf("node %d logged %d times how many results it restored, want 2", i+1, len(starts))
		}
		n, _ := strconv.Atoi(starts[1][1])
		open, _ := time.ParseDuration(starts[1][2])
		restore, _ := time.ParseDuration(starts[1][3])
		if slowest = max(slowest, open+restore); n < results {
			t.Errorf("node %d restored %d of %d results", i+1, n, results)
		}
	}
	t.Logf("%d nodes with %d results each: opened and restored within %v; "+
		"refused p99 %.1f ms, %.4f served, back to 0.95 after %.1f s",
		nodes, results, slowest, r.RefusalP99, r.ServedShare, r.RecoveryTime)
	// 24 nodes of that size need more than the six cores of the test machine, see docs/ROADMAP.md.
	if slowest > 5*time.Second || r.RecoveryTime < 0 && !*fullSize {
		t.Errorf("the slowest node took %v; recovery time %.1f s", slowest, r.RecoveryTime)
	}
}

// fillResults writes n results that expire in an hour into a store, as a result cache does.
func fillResults(dir string, n int) error {
	s, _, err := store.Open(dir, store.Options{SlackBytes: 256 << 10})
	if err != nil {
		return err
	}
	expires := time.Now().Add(time.Hour).UnixMilli()
	for from := 0; from < n; from += 500 {
		var b store.Batch
		for i := from; i < min(from+500, n); i++ {
			id := resultcache.RequestKey{Class: "pay", Tenant: "acme", Name: fmt.Sprintf("old%08d", i)}
			record, err := cbor.Marshal(map[int]any{
				1: resultcache.Result, 2: rules.Keyed, 3: id.Class, 4: id.Tenant, 5: id.Name,
				6: fmt.Sprintf("%016x", i), 7: expires - 3_600_000, 8: int64(3_600_000), 9: expires, 10: int64(100),
			})
			if err != nil {
				return err
			}
			b.Put("m/"+id.Text(), record, expires)
			b.Put("b/"+id.Text(), make([]byte, 100), expires)
		}
		if err := s.Apply(&b, store.Buffered); err != nil {
			return err
		}
	}
	return s.Close()
}

// Half of the files of a node's store are missing. The node detects that by the store's identity or by the
// key count of the last checkpoint, and no keyed request runs again.
func TestHalfOfStoreFilesMissing(t *testing.T) {
	opt := build(t)
	opt.LogDir = t.ArtifactDir()
	opt.NodeSettings = map[string]string{"store": "segment = 256KB"}
	opt.Prepare = func(_ int, dir string) error { return fillResults(filepath.Join(dir, "results"), 3000) }
	r := run(t, scenario(t, fmt.Sprintf(lostResults, 1, "on", "half")), opt)
	log := nodeLog(t, opt.LogDir, 0)
	if r.RanAgainAfterRestart > 0 || !strings.Contains(log, "memory lost") {
		t.Errorf("%d requests ran again; the node logged %s", r.RanAgainAfterRestart, log)
	}
}
