package fleet

import (
	"context"
	"os/exec"
	"testing"
	"time"
)

const (
	longestHarmlessStall = 300 * time.Millisecond // of a play that counts
	maxPlays             = 3                      // of one scenario
)

// runUndisturbed executes a scenario as run does, and again while the machine stalled the play for longer than
// longestHarmlessStall. Whether a play counts depends on its stalls alone, never on its outcome, and a violated
// rule fails the test in each play.
func runUndisturbed(t *testing.T, s *Scenario, opt Options) *Report {
	t.Helper()
	for range maxPlays {
		r := run(t, s, opt)
		if r.LongestStallMs <= milliseconds(longestHarmlessStall) {
			return r
		}
		t.Logf("the play does not count: the machine stalled it for %.0f ms", r.LongestStallMs)
	}
	t.Fatalf("the machine stalled each of %d plays for longer than %v", maxPlays, longestHarmlessStall)
	return nil
}

// A stall of the machine is part of the report. The test process is stopped for 400 ms, by a child that is not.
func TestStallIsMeasured(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	measured := make(chan time.Duration, 1)
	go func() { measured <- longestStall(ctx) }()
	const stopParent = "sleep 0.1; kill -STOP $PPID; sleep 0.4; kill -CONT $PPID"
	if err := exec.CommandContext(ctx, "sh", "-c", stopParent).Run(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * stallCheckInterval) // so that the stall's end is observed before the measurement ends
	cancel()
	if stall := <-measured; stall < 350*time.Millisecond {
		t.Errorf("a stall of 400 ms was measured as %v", stall)
	}
}
