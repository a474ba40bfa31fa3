package node

import (
	"time"

	"robinmast/decide/pools"
	"robinmast/decide/shedding"
	"robinmast/rules"
)

// Load is how the node stands.
type Load struct {
	Running  int
	Limit    float64
	Pressure float64
	Warm     float64 // share of its speed that a cold node has reached
	State    string  // on its way to full service, "" = it is not looked at
}

// load tells how the node stands, if somebody wants to know.
func (n *Node) load() {
	m, ok := n.module.(interface {
		Load() (int, float64, float64)
	})
	if n.cfg.Load == nil || !ok {
		return
	}
	l := Load{Warm: 1}
	l.Running, l.Limit, l.Pressure = m.Load()
	if s := n.cfg.Settings; s.ColdStart && s.WarmUpTime > 0 {
		l.Warm = min(1, s.ColdSpeed+(1-s.ColdSpeed)*float64(n.now-n.born)/float64(s.WarmUpTime))
	}
	if n.cfg.Recovery != nil {
		l.Warm = n.warm
	}
	n.cfg.Load(l)
	if n.cfg.LoadReport == nil {
		return
	}
	if t := n.together(); t != nil {
		n.cfg.LoadReport(t.LoadReport(), t.View(n.now))
	}
}

// together is the module's part that thinks of the fleet, nil if it is off.
func (n *Node) together() *shedding.Shedder {
	m, ok := n.module.(interface {
		Inspect() (rules.Pools, []rules.QueuedRequest, rules.Shedder)
	})
	if !ok {
		return nil
	}
	_, _, t := m.Inspect()
	together, _ := t.(*shedding.Shedder)
	return together
}

// Together shows how the module thinks of the fleet, if it does and the loop
// answers in time.
func (n *Node) Shedding(most time.Duration) (shedding.View, bool) {
	show := make(chan shedding.View, 1)
	n.post(event{kind: inspect, seen: show})
	select {
	case v, ok := <-show:
		return v, ok
	case <-time.After(most):
		return shedding.View{}, false
	}
}

// Pools shows what the pools by class do, nil if there are none or the loop does
// not answer in time.
func (n *Node) Pools(most time.Duration) []pools.View {
	show := make(chan []pools.View, 1)
	n.post(event{kind: inspect, show: show})
	select {
	case v := <-show:
		return v
	case <-time.After(most):
		return nil
	}
}

func (n *Node) inspect(e event) {
	if e.show != nil {
		e.show <- n.views()
	}
	if e.seen != nil {
		if t := n.together(); t != nil {
			e.seen <- t.View(n.now)
		}
		close(e.seen)
	}
}

func (n *Node) views() []pools.View {
	m, ok := n.module.(interface {
		Inspect() (rules.Pools, []rules.QueuedRequest, rules.Shedder)
	})
	if !ok {
		return nil
	}
	p, line, _ := m.Inspect()
	if p, ok := p.(*pools.Pools); ok {
		return p.Views(line)
	}
	return nil
}
