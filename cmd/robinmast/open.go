package main

import (
	"log/slog"
	"time"

	"robinmast/internal/recovery"
	"robinmast/internal/resultcache"
	"robinmast/internal/store"
)

// maintenanceSpread is the time over which nodes that restart together spread the start of
// their stores' maintenance.
const maintenanceSpread = 10 * time.Second

// openResultCache opens the result cache, nil if [results] is off. If the store cannot be
// opened, it returns the error, or nil where the settings say to start without the store.
func openResultCache(cfg *platform, log *slog.Logger) (*resultcache.Cache, error) {
	if !cfg.own.Results.Enabled {
		return nil, nil
	}
	spread := time.Duration(0)
	if cfg.own.Recovery.Enabled {
		spread = maintenanceSpread
	}
	results, err := resultcache.Open(resultcache.Config{
		Results: cfg.own.Results, Store: cfg.own.Store, Settings: cfg.set, Names: cfg.names, Log: log, MaintenanceSpread: spread,
	})
	if err != nil && cfg.own.Results.StartEmpty {
		log.Error("serving without remembered results: what ran before this start may run again", "err", err)
		return nil, nil
	}
	return results, err
}

// openRecovery starts the recovery to full service, nil if [comeback] is off. closeStore
// closes the snapshot's store if openRecovery opened one; it is never nil.
func openRecovery(
	cfg *platform, results *resultcache.Cache, began time.Time, log *slog.Logger,
) (keeper *recovery.Manager, closeStore func(), err error) {
	closeStore = func() {}
	own := cfg.own.Recovery
	if !own.Enabled {
		return nil, closeStore, nil
	}
	c := recovery.Config{
		Options: own, Node: cfg.Name, ControlServices: len(cfg.own.Control.Address), Settings: cfg.set, Names: cfg.names, Log: log,
	}
	switch {
	case results != nil:
		c.Store, c.StoreRecovery, c.HasResultCache = results.Store(), results.Recovery(), true
	case own.Snapshot && own.Dir != "":
		s, rec, err := store.Open(own.Dir, store.Options{SyncInterval: cfg.own.Store.SyncInterval})
		if err != nil { // serving matters more than a warm start
			log.Error("serving without a snapshot", "err", err)
			break
		}
		c.Store, c.StoreRecovery = s, rec
		closeStore = func() {
			if err := s.Close(); err != nil {
				log.Error("closing the snapshot store failed", "err", err)
			}
		}
	}
	keeper, err = recovery.Open(c, began)
	return keeper, closeStore, err
}
