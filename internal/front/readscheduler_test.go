package front

import "testing"

// Guards against a connection that keeps other readers waiting: one whose messages come byte by byte, so that input is
// always available, kept its permit until enough of them had become whole.
func TestPermitAllowsBoundedReads(t *testing.T) {
	scheduler := newReadScheduler(1, &recordingSink{paced: true})
	slow, other := scheduler.newPermit(), scheduler.newPermit()
	slow.Acquire()
	reads := 1 // that before the permit was acquired
	for slow.AllowsRead() {
		reads++
	}
	if reads != maxReadsPerPermit {
		t.Errorf("the permit allowed %d reads, want %d", reads, maxReadsPerPermit)
	}
	granted := make(chan struct{})
	go func() { other.Acquire(); close(granted) }()
	slow.Release()
	<-granted
	if slow.AllowsRead() {
		t.Error("a read is allowed without a permit")
	}
	if used := scheduler.queue; used.Waiting() != 0 {
		t.Errorf("%d readers wait", used.Waiting())
	}
	other.Release()
	slow.Acquire()
	if !slow.AllowsRead() {
		t.Error("a new permit allows no read")
	}
}
