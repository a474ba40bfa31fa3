package settings

import (
	"robinmast/decide/pools"
	"robinmast/internal/config"
	"robinmast/rules"
)

// UsePools sets the module's concurrency pools from the [pools] section of cfg, if that is
// enabled. The error joins one config.Fault for each class that does not exist.
func UsePools(set *rules.Settings, names Names, cfg *config.Config) error {
	if !cfg.Pools.Enabled {
		return nil
	}
	if err := cfg.CheckClasses(names.Classes); err != nil {
		return err
	}
	poolSettings := pools.Settings{Reserve: cfg.Pools.Reserve, UtilityPerWork: set.UtilityPerWork}
	for i, c := range set.Classes {
		name := names.Classes[i]
		poolSettings.Classes = append(poolSettings.Classes,
			pools.Class{Utility: c.Utility, Reserve: cfg.Pools.Classes[name], Name: name})
	}
	set.NewPools = func() rules.Pools { return pools.New(poolSettings) }
	return nil
}
