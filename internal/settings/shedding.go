package settings

import (
	"time"

	"robinmast/decide/shedding"
	"robinmast/internal/config"
	"robinmast/rules"
)

// UseShedding sets the module's fleet-aware load shedding from the [together] section of own,
// if that is enabled.
func UseShedding(set *rules.Settings, own *config.Config) {
	if !own.Shedding.Enabled {
		return
	}
	useDigests := own.Shedding.UseDigests
	set.NewShedder = func(now time.Duration) rules.Shedder { return shedding.New(now, useDigests) }
}
