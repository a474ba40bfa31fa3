package control

import (
	"strings"
	"testing"
	"unicode/utf8"
)

// Guards against a view that is never published again: a zone that was cut within a character made the encoding of all
// endpoints fail.
func TestTextsAreCutBetweenCharacters(t *testing.T) {
	zone := strings.Repeat("x", maxTextBytes-1) + "\u00e9 and more"
	report, _, err := parsePlainReport("n1", []byte(`{"phase":"UP","zone":"`+zone+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := report.Zone; !utf8.ValidString(got) || got != zone[:maxTextBytes-1] {
		t.Errorf("zone %q", got)
	}
	if got := truncate("short"); got != "short" {
		t.Errorf("%q", got)
	}
}
