package stream

import (
	"bytes"
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

func TestRESPScan(t *testing.T) {
	long := strings.Repeat("x", maxRESPPartBytes+1)
	for name, c := range map[string]struct {
		in     string
		whole  int
		reason CloseReason
	}{
		"whole":             {"*2\r\n$2\r\nab\r\n$0\r\n\r\n", 18, StillOpen},
		"one and a half":    {"*1\r\n$1\r\na\r\n*1\r\n$1", 11, StillOpen},
		"line feeds inside": {"*1\r\n$4\r\n\r\n*1\r\n", 14, StillOpen},
		"part":              {"*1\r\n$5\r\nab", 0, StillOpen},
		"inline":            {"PING\r\n", 0, BadFraming},
		"inline after":      {"*1\r\n$1\r\na\r\nPING\r\n", 11, BadFraming},
		"no parts":          {"*0\r\n", 0, BadFraming},
		"negative":          {"*-1\r\n", 0, BadFraming},
		"null bulk":         {"*1\r\n$-1\r\n", 0, BadFraming},
		"no number":         {"*\r\n", 0, BadFraming},
		"bare line feed":    {"*1\n", 0, BadFraming},
		"not a bulk":        {"*1\r\n:1\r\n", 0, BadFraming},
		"bulk too short":    {"*1\r\n$2\r\nabc\r\n", 0, BadFraming},
		"endless array":     {"*4611686018427387904\r\n", 0, TooLong},
		"many parts":        {"*17\r\n", 0, TooLong},
		"endless bulk":      {"*1\r\n$999999999\r\n", 0, TooLong},
		"big bulk":          {"*1\r\n$8193\r\n" + long, 0, TooLong},
		"big message":       {"*2\r\n$8000\r\n" + long[:8000] + "\r\n$8000\r\n" + long[:8000], 0, TooLong},
	} {
		var f RESP
		if whole, reason := f.Scan([]byte(c.in)); whole != c.whole || reason != c.reason {
			t.Errorf("%s: %d bytes whole and %v, want %d and %v", name, whole, reason, c.whole, c.reason)
		}
	}
}

func TestLinesScan(t *testing.T) {
	f := Lines{MaxLength: 4}
	for _, c := range []struct {
		in     string
		whole  int
		reason CloseReason
	}{{"ab", 0, StillOpen}, {"cd\ne", 3, StillOpen}, {"\n\nabcd", 2, StillOpen}, {"e", 0, TooLong}} {
		if whole, reason := f.Scan([]byte(c.in)); whole != c.whole || reason != c.reason {
			t.Errorf("%q: %d bytes whole and %v, want %d and %v", c.in, whole, reason, c.whole, c.reason)
		}
	}
	if _, reason := (&Lines{MaxLength: 4}).Scan([]byte("abcde\n")); reason != TooLong {
		t.Errorf("a whole line over the limit: %v", reason)
	}
}

// However the input is split, the same messages become whole, and redcon's command reader parses all of them
// with no bytes left over.
func FuzzRESP(f *testing.F) {
	f.Add([]byte("*3\r\n$8\r\nRPC.CALL\r\n$1\r\n7\r\n$0\r\n\r\n*1\r\n$1\r\na\r\n"), uint8(3))
	f.Add([]byte("*2\r\n$10\r\nRPC.CANCEL\r\n$1\r\n7\r\n"), uint8(1))
	f.Add([]byte("PING\r\n"), uint8(2))
	f.Add([]byte("*4611686018427387904\r\n"), uint8(200))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
		var one, many RESP
		whole, reason := one.Scan(in)
		got, gotReason := 0, StillOpen
		for at := 0; at < len(in) && gotReason == StillOpen; {
			n := min(int(cut)+1, len(in)-at)
			var w int
			if w, gotReason = many.Scan(in[at : at+n]); w > 0 {
				got = at + w
			}
			at += n
		}
		if gotReason != reason || reason == StillOpen && got != whole {
			t.Fatalf("at once %d and %v, in pieces %d and %v", whole, reason, got, gotReason)
		}
		if reason != StillOpen || whole == 0 {
			return
		}
		rd := redcon.NewReader(bytes.NewReader(in[:whole]))
		parsed := 0
		for parsed < whole {
			cmds, err := rd.ReadCommands()
			if err != nil {
				t.Fatalf("accepted bytes that redcon cannot parse: %v", err)
			}
			for _, c := range cmds {
				parsed += len(c.Raw)
			}
		}
		if parsed != whole {
			t.Fatalf("%d bytes accepted, %d parsed", whole, parsed)
		}
	})
}

// However the input is split, the same lines become whole, none longer than the limit.
func FuzzLines(f *testing.F) {
	f.Add([]byte("{\"op\":\"bound\"}\n{}\n"), uint8(4))
	f.Add([]byte("no end"), uint8(1))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
		const longest = 12
		f := Lines{MaxLength: longest}
		whole, reason := 0, StillOpen
		for at := 0; at < len(in) && reason == StillOpen; {
			n := min(int(cut)+1, len(in)-at)
			var w int
			if w, reason = f.Scan(in[at : at+n]); w > 0 {
				whole = at + w
			}
			at += n
		}
		over := false
		for _, line := range bytes.Split(in, []byte("\n")) {
			over = over || len(line) > longest
		}
		if over != (reason == TooLong) {
			t.Fatalf("a line over the limit: %v, reason %v", over, reason)
		}
		if reason == StillOpen && whole != bytes.LastIndexByte(in, '\n')+1 {
			t.Fatalf("%d bytes whole of %q", whole, in)
		}
	})
}
