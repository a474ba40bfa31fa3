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
	if !cfg.iniConfig.Results.Enabled {
		return nil, nil
	}
	spread := time.Duration(0)
	if cfg.iniConfig.Recovery.Enabled {
		spread = maintenanceSpread
	}
	results, err := resultcache.Open(resultcache.Config{
		Results: cfg.iniConfig.Results, Store: cfg.iniConfig.Store, Settings: cfg.nodeSettings, Names: cfg.names, Log: log,
		MaintenanceSpread: spread,
	})
	if err != nil && cfg.iniConfig.Results.StartEmpty {
		log.Error("serving without remembered results: what ran before this start may run again", "err", err)
		return nil, nil
	}
	return results, err
}

// openRecovery starts the recovery to full service, nil if [comeback] is off. closeStore
// closes the snapshot's store if openRecovery opened one, or gives up after minStopWait; it is never nil.
func openRecovery(
	cfg *platform, results *resultcache.Cache, processStart time.Time, log *slog.Logger,
) (recoveryManager *recovery.Manager, closeStore func(), err error) {
	closeStore = func() {}
	options := cfg.iniConfig.Recovery
	if !options.Enabled {
		return nil, closeStore, nil
	}
	c := recovery.Config{
		Options: options, Node: cfg.Name, ControlServices: len(cfg.iniConfig.Control.Address),
		Settings: cfg.nodeSettings, Names: cfg.names, Log: log,
	}
	switch {
	case results != nil:
		c.Store, c.StoreRecovery, c.HasResultCache = results.Store(), results.Recovery(), true
	case options.Snapshot && options.Dir != "":
		s, rec, err := store.Open(options.Dir, store.Options{SyncInterval: cfg.iniConfig.Store.SyncInterval})
		if err != nil { // serving matters more than a warm start
			log.Error("serving without a snapshot", "err", err)
			break
		}
		c.Store, c.StoreRecovery = s, rec
		closeStore = func() { closeWithin(minStopWait, s.Close, log) }
	}
	recoveryManager, err = recovery.Open(c, processStart)
	return recoveryManager, closeStore, err
}

// closeWithin closes the snapshot's store, but waits no longer than timeout: a disk that hangs does not keep the
// process from ending.
func closeWithin(timeout time.Duration, closeStore func() error, log *slog.Logger) {
	closed := make(chan error, 1)
	go func() { closed <- closeStore() }()
	select {
	case err := <-closed:
		if err != nil {
			log.Error("closing the snapshot store failed", "err", err)
		}
	case <-time.After(timeout):
		log.Error("the snapshot store did not close in time", "most", timeout)
	}
}
