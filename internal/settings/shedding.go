package settings

import (
	"time"

	"robinmast/decide/shedding"
	"robinmast/internal/config"
	"robinmast/rules"
)

// UseShedding sets the module's fleet-aware load shedding from the [together] section of cfg,
// if that is enabled.
func UseShedding(set *rules.Settings, cfg *config.Config) {
	if !cfg.Shedding.Enabled {
		return
	}
	useDigests := cfg.Shedding.UseDigests
	set.NewShedder = func(now time.Duration) rules.Shedder { return shedding.New(now, useDigests) }
}
