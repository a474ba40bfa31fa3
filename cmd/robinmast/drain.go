package main

import (
	"time"
)

// Times of the drain.
const (
	exitMargin   = 250 * time.Millisecond // between the last answers and the stop: to flush and exit
	drainPoll    = 5 * time.Millisecond   // interval at which a draining node checks whether it is done
	finMargin    = 300 * time.Millisecond // least time from `0 FIN` to the deadline of the last answers
	quietTime    = 100 * time.Millisecond // without input, open requests or unsent answers before an early exit
	flushTimeout = 100 * time.Millisecond // for sending the last answers
	maxCloseWait = time.Second            // for connections to close once all is answered
	killMargin   = 60 * time.Millisecond  // time before the stop at which waiting for connections ends
)

// drain answers and sends everything that was read, and returns before the process would be
// killed. Connections stay open for the grace, since requests that arrive within it still
// run and a new connection may bring some; then each gets `0 FIN` and new ones are refused,
// which proves that nothing ran. After quietTime without work, or at the deadline, each
// connection is closed once its answers are sent.
func (p *runningNode) drain(notice time.Time, signals notices) {
	cfg, log := p.cfg, p.log
	stop := cfg.stop()
	left := max(stop-exitMargin, stop/2) // for the last answers
	log.Info("notice to leave", "stop", stop, "in_hand", p.requests.OpenRequests())
	p.node.Drain(left)
	if p.control != nil {
		p.control.drain(left)
	}
	grace := max(min(cfg.nodeSettings.DrainGrace, left-finMargin), 0)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	refusing, quiet, read := false, notice, p.requests.Read.Load()
	for {
		select {
		case sig := <-signals.leave: // a repeated notice changes nothing
			p.handleSignal(sig)
		case sig := <-signals.other:
			p.handleSignal(sig)
		case r := <-p.reloaded:
			p.applyReload(r)
		case <-tick.C:
		}
		since := time.Since(notice)
		if !refusing && since >= grace { // requests that arrive from now on would not run
			refusing = true
			p.front.StopListening()
			p.front.SendFin()
		}
		if now := p.requests.Read.Load(); now != read || p.requests.OpenRequests() > 0 || !p.front.Flushed() {
			read, quiet = now, time.Now()
		}
		if refusing && time.Since(quiet) > quietTime || since >= left+flushTimeout {
			break
		}
	}
	log.Info("leaving", "after", time.Since(notice), "in_hand", p.requests.OpenRequests(),
		"flushed", p.front.Flushed())
	if timeout := min(stop-time.Since(notice)-killMargin, maxCloseWait); !p.front.Drain(timeout) {
		log.Warn("connections did not close in time", "most", timeout, "in_hand", p.requests.OpenRequests())
	}
}
