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
		in    string
		whole int
		end   CloseReason
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
		if whole, end := f.Scan([]byte(c.in)); whole != c.whole || end != c.end {
			t.Errorf("%s: %d bytes whole and %v, want %d and %v", name, whole, end, c.whole, c.end)
		}
	}
}

func TestLinesScan(t *testing.T) {
	f := Lines{Longest: 4}
	for _, c := range []struct {
		in    string
		whole int
		end   CloseReason
	}{{"ab", 0, StillOpen}, {"cd\ne", 3, StillOpen}, {"\n\nabcd", 2, StillOpen}, {"e", 0, TooLong}} {
		if whole, end := f.Scan([]byte(c.in)); whole != c.whole || end != c.end {
			t.Errorf("%q: %d bytes whole and %v, want %d and %v", c.in, whole, end, c.whole, c.end)
		}
	}
	if _, end := (&Lines{Longest: 4}).Scan([]byte("abcde\n")); end != TooLong {
		t.Errorf("a whole line beyond the bound: %v", end)
	}
}

// Whatever comes in and however it is cut, the same messages become whole, and
// the command reader takes every one of them without a rest.
func FuzzRESP(f *testing.F) {
	f.Add([]byte("*3\r\n$8\r\nRPC.CALL\r\n$1\r\n7\r\n$0\r\n\r\n*1\r\n$1\r\na\r\n"), uint8(3))
	f.Add([]byte("*2\r\n$10\r\nRPC.CANCEL\r\n$1\r\n7\r\n"), uint8(1))
	f.Add([]byte("PING\r\n"), uint8(2))
	f.Add([]byte("*4611686018427387904\r\n"), uint8(200))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
		var one, many RESP
		whole, end := one.Scan(in)
		got, gotEnd := 0, StillOpen
		for at := 0; at < len(in) && gotEnd == StillOpen; {
			n := min(int(cut)+1, len(in)-at)
			var w int
			if w, gotEnd = many.Scan(in[at : at+n]); w > 0 {
				got = at + w
			}
			at += n
		}
		if gotEnd != end || end == StillOpen && got != whole {
			t.Fatalf("at once %d and %v, in pieces %d and %v", whole, end, got, gotEnd)
		}
		if end != StillOpen || whole == 0 {
			return
		}
		rd := redcon.NewReader(bytes.NewReader(in[:whole]))
		taken := 0
		for taken < whole {
			cmds, err := rd.ReadCommands()
			if err != nil {
				t.Fatalf("let through what can't be read: %v", err)
			}
			for _, c := range cmds {
				taken += len(c.Raw)
			}
		}
		if taken != whole {
			t.Fatalf("%d bytes let through, %d taken", whole, taken)
		}
	})
}

// Lines cut anywhere give the same lines, none longer than the bound.
func FuzzLines(f *testing.F) {
	f.Add([]byte("{\"op\":\"bound\"}\n{}\n"), uint8(4))
	f.Add([]byte("no end"), uint8(1))
	f.Fuzz(func(t *testing.T, in []byte, cut uint8) {
		const longest = 12
		f := Lines{Longest: longest}
		whole, end := 0, StillOpen
		for at := 0; at < len(in) && end == StillOpen; {
			n := min(int(cut)+1, len(in)-at)
			var w int
			if w, end = f.Scan(in[at : at+n]); w > 0 {
				whole = at + w
			}
			at += n
		}
		over := false
		for _, line := range bytes.Split(in, []byte("\n")) {
			over = over || len(line) > longest
		}
		if over != (end == TooLong) {
			t.Fatalf("a line over the bound: %v, ended %v", over, end)
		}
		if end == StillOpen && whole != bytes.LastIndexByte(in, '\n')+1 {
			t.Fatalf("%d bytes whole of %q", whole, in)
		}
	})
}
