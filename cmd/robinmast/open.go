package main

import (
	"log/slog"
	"time"

	"robinmast/internal/recovery"
	"robinmast/internal/resultcache"
	"robinmast/internal/store"
)

const upkeepSpread = 10 * time.Second // over which nodes that come back together begin their stores' upkeep

// remember opens what outlives the node, nil if [results] is off. A store that
// can't be opened ends the start, or leaves the node without memory, as set.
func remember(cfg *platform, log *slog.Logger) (*resultcache.Cache, error) {
	if !cfg.own.Results.Enabled {
		return nil, nil
	}
	spread := time.Duration(0)
	if cfg.own.Recovery.Enabled {
		spread = upkeepSpread
	}
	mem, err := resultcache.Open(resultcache.Config{
		Results: cfg.own.Results, Store: cfg.own.Store, Settings: cfg.set, Names: cfg.names, Log: log, Spread: spread,
	})
	if err != nil && cfg.own.Results.StartEmpty {
		log.Error("serving without remembered results: what ran before this start may run again", "err", err)
		return nil, nil
	}
	return mem, err
}

// comeBack begins the node's way back to full service, nil if [comeback] is off;
// shut closes what it opened itself.
func comeBack(cfg *platform, mem *resultcache.Cache, began time.Time, log *slog.Logger) (k *recovery.Keeper, shut func(), err error) {
	shut = func() {}
	own := cfg.own.Recovery
	if !own.Enabled {
		return nil, shut, nil
	}
	c := recovery.Config{Own: own, Node: cfg.Name, Listens: len(cfg.own.Control.Address), Settings: cfg.set, Names: cfg.names, Log: log}
	switch {
	case mem != nil:
		c.Store, c.Recovery, c.Results = mem.Store(), mem.Recovery(), true
	case own.Snapshot && own.Dir != "":
		s, rec, err := store.Open(own.Dir, store.Options{Interval: cfg.own.Store.Interval})
		if err != nil { // a snapshot is worth less than a start
			log.Error("serving without a snapshot", "err", err)
			break
		}
		c.Store, c.Recovery = s, rec
		shut = func() {
			if err := s.Close(); err != nil {
				log.Error("the snapshot's store was not closed in order", "err", err)
			}
		}
	}
	k, err = recovery.Open(c, began)
	return k, shut, err
}
