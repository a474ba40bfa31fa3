package main

import (
	"reflect"

	"robinmast/rules"
)

// reloaded is the result of reading the configuration again.
type reloaded struct {
	cfg *platform
	err error
}

// startReload reads the configuration again in a goroutine of its own: a file that cannot be
// read to its end must not delay the notice to leave. A request during a reload starts
// another one after it.
func (p *runningNode) startReload() {
	if p.reloadAgain = p.reloading; p.reloadAgain {
		return
	}
	p.reloading = true
	go func() {
		cfg, err := p.reload()
		p.reloaded <- reloaded{cfg, err}
	}()
}

// applyReload applies the addresses of a new configuration. One that is invalid, or has
// changes that need a restart, is logged and changes nothing.
func (p *runningNode) applyReload(r reloaded) {
	p.reloading = false
	if p.reloadAgain {
		p.startReload()
	}
	cfg, err := r.cfg, r.err
	if err != nil {
		p.log.Error("new configuration rejected", "err", err)
		return
	}
	if cfg.Name != p.cfg.Name || cfg.Listen != p.cfg.Listen || cfg.StopMs != p.cfg.StopMs || cfg.Limits != p.cfg.Limits ||
		!equalSettings(cfg.nodeSettings, p.cfg.nodeSettings) || !reflect.DeepEqual(cfg.names, p.cfg.names) {
		p.log.Error("new configuration rejected",
			"err", "only the pool, members and db addresses can change without a restart")
		return
	}
	p.log.Info("new configuration applied", "pool", cfg.Pool, "members", cfg.Members,
		"pool_moves", cfg.Pool != p.cfg.Pool, "members_move", cfg.Members != p.cfg.Members)
	p.cfg.Pool, p.cfg.Members, p.cfg.DB = cfg.Pool, cfg.Members, cfg.DB
	p.pool.ChangeAddress(cfg.Pool)
	p.members.ChangeAddress(cfg.Members)
	if p.dependency != nil {
		p.dependency.ChangeAddress(cfg.DB)
	}
}

// equalSettings compares the platform's settings. The constructors of pools and shedding come
// from the node's own file, and whether a node has just started is a fact, not a setting.
func equalSettings(a, b rules.Settings) bool {
	a.ColdStart = b.ColdStart
	a.NewPools, b.NewPools = nil, nil
	a.NewShedder, b.NewShedder = nil, nil
	return reflect.DeepEqual(a, b)
}
