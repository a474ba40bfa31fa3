package node

import (
	"time"

	"robinmast/decide/pools"
	"robinmast/decide/shedding"
	"robinmast/rules"
)

// Load is the node's present load, for the reports to the control service.
type Load struct {
	Running  int     // runs
	Limit    float64 // concurrency limit, runs
	Pressure float64 // of overload, from 0 to 1
	Warm     float64 // share of its full speed that a cold node has reached
	State    string  // recovery state, "" = not tracked
}

// reportLoad calls Config.Load and Config.LoadReport, if set.
func (n *Node) reportLoad() {
	m, ok := n.module.(interface {
		Load() (int, float64, float64)
	})
	if n.cfg.Load == nil || !ok {
		return
	}
	load := Load{Warm: 1}
	load.Running, load.Limit, load.Pressure = m.Load()
	if s := n.cfg.Settings; s.ColdStart && s.WarmUpTime > 0 {
		load.Warm = min(1, s.ColdSpeed+(1-s.ColdSpeed)*float64(n.now-n.poolUpSince)/float64(s.WarmUpTime))
	}
	if n.cfg.Recovery != nil {
		load.Warm = n.speed
	}
	n.cfg.Load(load)
	if n.cfg.LoadReport == nil {
		return
	}
	if s := n.shedder(); s != nil {
		n.cfg.LoadReport(s.LoadReport(), s.View(n.now))
	}
}

// shedder returns the module's fleet-aware load shedder, nil if it has none.
func (n *Node) shedder() *shedding.Shedder {
	m, ok := n.module.(interface {
		Inspect() (rules.Pools, []rules.QueuedRequest, rules.Shedder)
	})
	if !ok {
		return nil
	}
	_, _, inspected := m.Inspect()
	shedder, _ := inspected.(*shedding.Shedder)
	return shedder
}

// Shedding returns the state of fleet-aware load shedding; false if it is off or the
// loop does not answer within timeout.
func (n *Node) Shedding(timeout time.Duration) (shedding.View, bool) {
	reply := make(chan shedding.View, 1)
	n.post(event{kind: viewRequested, sheddingView: reply})
	select {
	case v, ok := <-reply:
		return v, ok
	case <-time.After(timeout):
		return shedding.View{}, false
	}
}

// Pools returns the state of the pools by class, nil if there are none or the loop does
// not answer within timeout.
func (n *Node) Pools(timeout time.Duration) []pools.View {
	reply := make(chan []pools.View, 1)
	n.post(event{kind: viewRequested, poolViews: reply})
	select {
	case v := <-reply:
		return v
	case <-time.After(timeout):
		return nil
	}
}

// sendView answers a viewRequested event.
func (n *Node) sendView(e event) {
	if e.poolViews != nil {
		e.poolViews <- n.poolViews()
	}
	if e.sheddingView != nil {
		if s := n.shedder(); s != nil {
			e.sheddingView <- s.View(n.now)
		}
		close(e.sheddingView)
	}
}

// poolViews returns the views of the pools by class, nil if there are none.
func (n *Node) poolViews() []pools.View {
	m, ok := n.module.(interface {
		Inspect() (rules.Pools, []rules.QueuedRequest, rules.Shedder)
	})
	if !ok {
		return nil
	}
	inspected, queued, _ := m.Inspect()
	if p, ok := inspected.(*pools.Pools); ok {
		return p.Views(queued)
	}
	return nil
}
