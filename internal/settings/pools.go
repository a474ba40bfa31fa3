// This file owns how the INI file's pools become the module's, for both hosts.
// It must never decide who gets a slot.

package settings

import (
	"robinmast/decide/pools"
	"robinmast/internal/config"
	"robinmast/rules"
)

// UsePools gives the module pools by class, if own switches them on. Names of
// classes that do not exist are its error, one config.Fault each.
func UsePools(set *rules.Settings, names Names, own *config.Config) error {
	if !own.Pools.Enabled {
		return nil
	}
	if err := own.CheckClasses(names.Classes); err != nil {
		return err
	}
	ps := pools.Settings{Reserve: own.Pools.Reserve, UtilityPerWork: set.UtilityPerWork}
	for i, c := range set.Classes {
		name := names.Classes[i]
		ps.Classes = append(ps.Classes, pools.Class{Utility: c.Utility, Reserve: own.Pools.Classes[name], Name: name})
	}
	set.NewPools = func() rules.Pools { return pools.New(ps) }
	return nil
}
