package node

import (
	"testing"
	"time"

	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/internal/store/vfs"
)

// newerState is how far the newer of two runs under one key has come when the earlier one ends.
type newerState string

const (
	intentPending newerState = "intent pending"
	runInProgress newerState = "run in progress"
	resultStored  newerState = "result stored"
)

// Guards against a keyed request that runs again after a restart: when the run of an earlier request under its key
// ended, whose window was over, the cache deleted the stored record of the newer request, as it looked at the key only.
func TestEndOfEarlierRunLeavesNewerRecord(t *testing.T) {
	outcomes := map[string]pool.Outcome{
		"complete": pool.Complete, "error": pool.Error, "cancelled": pool.Cancelled, "never started": pool.NeverStarted,
	}
	for name, outcome := range outcomes {
		for _, state := range []newerState{intentPending, runInProgress, resultStored} {
			for _, restarted := range []bool{false, true} {
				origin := ", same incarnation"
				if restarted {
					origin = ", earlier incarnation"
				}
				t.Run(name+", "+string(state)+origin, func(t *testing.T) {
					testEndOfEarlierRun(t, outcome, state, restarted)
				})
			}
		}
	}
}

// testEndOfEarlierRun ends a run after its window, while a newer request under its key is in the given state, and
// checks that the node, once it was killed and started again, still has the newer record. restarted: the earlier run
// is of another incarnation.
func testEndOfEarlierRun(t *testing.T, outcome pool.Outcome, state newerState, restarted bool) {
	node := startIncarnation(t, vfs.NewMem(false), 1000, time.Hour, nil)
	earlier := node.send(1, withKey("k"))
	node.eventually("the earlier run", func() bool { return node.hasRun(earlier) })
	endEarlier := func() { node.RunEnded(earlier, outcome, time.Millisecond, []byte("earlier")) }
	if restarted {
		node = startIncarnation(t, node.disk.Clone(), 1010, time.Hour, nil)
		endEarlier = func() { node.UnknownRunEnded(earlier.Txn, outcome, []byte("earlier")) }
	}
	node.advance(310 * time.Millisecond) // its window is over
	newer := sendNewer(node, state, endEarlier)
	if err := node.cache.Store().Sync(); err != nil {
		t.Fatal(err)
	}
	next := startIncarnation(t, node.disk.Clone(), 1400, time.Hour, nil) // the worker pool outlives the node
	repeat := next.send(1, withKey("k"))
	if state != resultStored {
		next.runBatches()
		next.wantNoAnswer(repeat)
		next.UnknownRunEnded(newer.Txn, pool.Complete, []byte("newer"))
	}
	next.eventually("a run or an answer", func() bool { return next.hasRun(repeat) || next.hasAnswer(repeat) })
	if next.hasRun(repeat) {
		t.Fatal("the newer request ran again within its window")
	}
	next.wantAnswer(repeat, exchange.Served, "newer")
}

// sendNewer sends a request under the key "k", brings it to the given state and then ends the earlier run.
func sendNewer(node *incarnation, state newerState, endEarlier func()) *exchange.Exchange {
	release := func() {}
	if state == intentPending {
		release = blockDisk(node.disk)
	}
	newer := node.send(1, withKey("k"))
	if state != intentPending {
		node.eventually("the newer run", func() bool { return node.hasRun(newer) })
	}
	if state == resultStored {
		node.RunEnded(newer, pool.Complete, time.Millisecond, []byte("newer"))
		node.eventually("the newer result", func() bool { return node.hasAnswer(newer) })
	}
	endEarlier()
	node.runBatches()
	release()
	node.eventually("the newer run", func() bool { return node.hasRun(newer) })
	node.runBatches()
	return newer
}
