// This file owns how the INI file's [together] becomes the module's, for both hosts.
// It must never decide what becomes of a refusal.

package settings

import (
	"time"

	"robinmast/decide/shedding"
	"robinmast/internal/config"
	"robinmast/rules"
)

// UseTogether lets the module refuse with the fleet in mind, if own switches it on.
func UseShedding(set *rules.Settings, own *config.Config) {
	if !own.Shedding.Enabled {
		return
	}
	told := own.Shedding.UseDigests
	set.NewShedder = func(now time.Duration) rules.Shedder { return shedding.New(now, told) }
}
