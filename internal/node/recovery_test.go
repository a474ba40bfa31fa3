package node

import (
	"slices"
	"testing"
	"time"

	"robinmast/decide/recovery"
	"robinmast/internal/exchange"
	"robinmast/internal/pool"
	"robinmast/rules"
)

// stubRecovery records the run times that the node observes.
type stubRecovery struct {
	took    []time.Duration
	inDoubt bool // what InDoubt returns
}

func (*stubRecovery) Begin(time.Duration) {}
func (*stubRecovery) WorkerPoolUp(time.Duration, time.Duration, bool) (*rules.Learned, float64, float64) {
	return nil, 0, 1
}
func (s *stubRecovery) InDoubt(time.Duration, int, uint64, bool, time.Duration) bool {
	return s.inDoubt
}
func (*stubRecovery) Arrived(time.Duration, bool) {}
func (s *stubRecovery) RunSucceeded(_ time.Duration, _ int, took, _ time.Duration) bool {
	s.took = append(s.took, took)
	return false
}
func (*stubRecovery) Step(time.Duration, bool, func() rules.Learned) (loadShare, speed float64) {
	return 1, 1
}
func (*stubRecovery) ObservePrevious(time.Duration, *recovery.PreviousStore) {}
func (*stubRecovery) FleetCapacity(time.Duration, float64)                   {}
func (*stubRecovery) Close(rules.Learned)                                    {}

// Guards against a warm-up that lasts until its time limit: runs that share the cores with others took longer than their
// hints, which counted as a slow worker pool.
func TestRunsThatShareCoresAreNotSlow(t *testing.T) {
	observed := &stubRecovery{}
	r := newRigWith(t, Config{Settings: defaultSettings(), Recovery: observed}, true)
	r.cfg.Settings.Cores = 1 // the module, which was built for two, starts two runs
	const took = 60 * time.Millisecond
	first, second := r.send(0, nil), r.send(0, nil)
	if len(r.started) != 2 || r.running != 2 {
		t.Fatalf("%d runs were started, %d are in progress, want 2", len(r.started), r.running)
	}
	r.RunEnded(first, pool.Complete, took, []byte("result"))
	r.runBatches()
	r.RunEnded(second, pool.Complete, took, []byte("result"))
	r.runBatches()
	// The first ran alone at its start and beside the second at its end, the second the other way round.
	want := []time.Duration{took * 2 / 3, took * 2 / 3}
	if !slices.Equal(observed.took, want) || r.running != 0 {
		t.Errorf("observed %v on a core of its own, want %v; %d runs are in progress", observed.took, want, r.running)
	}
}

// Guards against the result of another request: one that may have run in a previous incarnation joined the record of its
// key even if that had expired, and got the result of an earlier request.
func TestRequestInDoubtDoesNotJoinExpiredRecord(t *testing.T) {
	recovery := &stubRecovery{}
	r := newRigWith(t, Config{Settings: defaultSettings(), Recovery: recovery}, true)
	earlier := r.send(1, withKey("k"))
	r.RunEnded(earlier, pool.Complete, time.Millisecond, []byte("earlier"))
	r.runBatches()
	r.advance(310 * time.Millisecond) // its window is over
	recovery.inDoubt = true
	request := r.send(1, withKey("k"))
	r.wantAnswer(request, exchange.Failed, "")
}
