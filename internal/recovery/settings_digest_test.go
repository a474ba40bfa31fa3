package recovery

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"robinmast/internal/settings"
	"robinmast/rules"
)

// fill sets every exported field of v, a pointer to a struct, to a value other than
// zero, slices to two elements; functions stay nil.
func fill(v reflect.Value, next *int64) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fill(v.Index(i), next)
		}
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(*next)
	case reflect.Uint8:
		v.SetUint(uint64(*next % 4))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("name", *next))
	}
}

// A snapshot of an earlier version is discarded if the digest of the same settings
// changes. The text must stay what it was before fields of the settings were renamed,
// and each field must be part of it.
func TestSettingsDigestIsStable(t *testing.T) {
	var set rules.Settings
	var names settings.Names
	var next int64
	fill(reflect.ValueOf(&set).Elem(), &next)
	fill(reflect.ValueOf(&names).Elem(), &next)
	const want = "{Tick:2ns Cores:3 Nodes:4 Callers:5 Cold:false Layer:7 Classes:[{Aim:10ns AimStretch:11.5 Deadline:12ns LateShare:13.5 Worth:14.5 Window:15ns Effect:0 Calls:true SkipWorth:18.5} {Aim:20ns AimStretch:21.5 Deadline:22ns LateShare:23.5 Worth:24.5 Window:25ns Effect:2 Calls:true SkipWorth:28.5}] Tenants:[{QuotaPerSecond:31.5 Share:32.5} {QuotaPerSecond:34.5 Share:35.5}] OverShare:36.5 WorthByWork:true MarksRetries:true PassesPatience:true TellsGone:true HonoursRetry:true MaxRetryAfter:42ns FreeValue:3 FreeValueLife:44ns Preemption:1 MemoryKB:46.5 RunFactor:47.5 EntryKB:48.5 Fresh:49ns Gauges:[name51 name52] KeepaliveMax:53ns Readiness:true Below:3 CallShare:56.5 CallWindow:57ns CallLinger:58ns AnswerSlack:59ns ColdFrom:60.5 Ramp:61ns DrainGrace:62ns FallMultiple:63.5 FallWindow:64ns NewPools:<nil> NewTogether:<nil>} {Classes:[name69 name70] Tenants:[name72 name73]}"
	if got := digestText(set, names); got != want {
		t.Errorf("digested text is\n%s, want\n%s", got, want)
	}
	set.ColdStart = !set.ColdStart
	set.NewPools = func() rules.Pools { return nil }
	if got := digestText(set, names); got != want {
		t.Errorf("a cold start or pools change the digested text to\n%s, want\n%s", got, want)
	}
	if got, want := settingsDigest(rules.Settings{Cores: 2, BatchInterval: time.Millisecond}, settings.Names{}), uint64(0xcc8a358a6bba45d8); got != want {
		t.Errorf("digest is %#x, want %#x", got, want)
	}
}
