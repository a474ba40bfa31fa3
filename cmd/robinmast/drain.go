package main

import (
	"time"
)

// Mechanics of leaving.
const (
	exitMargin   = 250 * time.Millisecond // from the last answers to the stop: to flush and exit
	drainPoll    = 5 * time.Millisecond   // how often a leaving node looks whether it is done
	finMargin    = 300 * time.Millisecond // from `0 FIN` to the last answers, at least
	quietExit    = 100 * time.Millisecond // nothing may come in for so long before it leaves early
	flushTimeout = 100 * time.Millisecond // for the last answers
	leaveMost    = time.Second            // for connections to end once all is answered
	killMargin   = 60 * time.Millisecond  // before the stop, at which connections are given up
)

// drain leaves: everything read is answered and sent before it returns, and it
// returns before the process would be killed. Connections stay open for the
// grace, since what comes within it still runs and a new connection is work;
// then each gets `0 FIN` and new ones are refused, which proves that nothing ran.
// Once all is quiet the connections are ended, each when it owes nothing.
func (p *parts) drain(notice time.Time, signals notices) {
	cfg, log := p.cfg, p.log
	stop := cfg.stop()
	left := max(stop-exitMargin, stop/2)
	log.Info("notice to leave", "stop", stop, "in_hand", p.ledger.OpenRequests())
	p.node.Drain(left)
	if p.control != nil {
		p.control.drain(left)
	}
	grace := max(min(cfg.set.DrainGrace, left-finMargin), 0)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	refusing, quiet, read := false, notice, p.ledger.Read.Load()
	for {
		select {
		case sig := <-signals.leave: // told already
			p.told(sig)
		case sig := <-signals.other:
			p.told(sig)
		case r := <-p.reloaded:
			p.readdress(r)
		case <-tick.C:
		}
		since := time.Since(notice)
		if !refusing && since >= grace { // what comes from now on would not run
			refusing = true
			p.front.StopListening()
			p.front.SendFin()
		}
		if now := p.ledger.Read.Load(); now != read || p.ledger.OpenRequests() > 0 || !p.front.Flushed() {
			read, quiet = now, time.Now()
		}
		if refusing && time.Since(quiet) > quietExit || since >= left+flushTimeout {
			break
		}
	}
	log.Info("leaving", "after", time.Since(notice), "in_hand", p.ledger.OpenRequests(), "flushed", p.front.Flushed())
	if most := min(stop-time.Since(notice)-killMargin, leaveMost); !p.front.Drain(most) {
		log.Warn("connections did not end in time", "most", most, "in_hand", p.ledger.OpenRequests())
	}
}
