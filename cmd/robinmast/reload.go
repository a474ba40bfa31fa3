package main

import (
	"reflect"

	"robinmast/rules"
)

// reloaded is what came of reading the configuration anew.
type reloaded struct {
	cfg *platform
	err error
}

// reread reads the configuration anew, beside the loop: a file that can't be read
// to its end must not keep a notice to leave from being heard.
func (p *parts) reread() {
	if p.again = p.reading; p.again {
		return
	}
	p.reading = true
	go func() {
		cfg, err := p.reload()
		p.reloaded <- reloaded{cfg, err}
	}()
}

// readdress takes up the addresses of a configuration that was replaced. One
// that can't be used, or asks for what takes a restart, changes nothing: whoever
// wrote it is told, and the node serves on with what it has.
func (p *parts) readdress(r reloaded) {
	p.reading = false
	if p.again {
		p.reread()
	}
	cfg, err := r.cfg, r.err
	if err != nil {
		p.log.Error("new configuration not taken", "err", err)
		return
	}
	if cfg.Name != p.cfg.Name || cfg.Listen != p.cfg.Listen || cfg.StopMs != p.cfg.StopMs || cfg.Limits != p.cfg.Limits ||
		!sameSettings(cfg.set, p.cfg.set) || !reflect.DeepEqual(cfg.names, p.cfg.names) {
		p.log.Error("new configuration not taken", "err", "more than the pool and members addresses differs: that takes a restart")
		return
	}
	p.log.Info("new configuration", "pool", cfg.Pool, "members", cfg.Members,
		"pool_moves", cfg.Pool != p.cfg.Pool, "members_move", cfg.Members != p.cfg.Members)
	p.cfg.Pool, p.cfg.Members, p.cfg.DB = cfg.Pool, cfg.Members, cfg.DB
	p.pool.ChangeAddress(cfg.Pool)
	p.report.ChangeAddress(cfg.Members)
	if p.below != nil {
		p.below.ChangeAddress(cfg.DB)
	}
}

// sameSettings compares what the platform says; pools and together are the node's own,
// and whether a node has just started is no setting of it.
func sameSettings(a, b rules.Settings) bool {
	a.ColdStart = b.ColdStart
	a.NewPools, b.NewPools = nil, nil
	a.NewShedder, b.NewShedder = nil, nil
	return reflect.DeepEqual(a, b)
}
