package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"robinmast/internal/config"
	"robinmast/internal/simwire"
)

const env = `{"tickMs": 2, "groupSize": 2, "lanes": [{"aimMs": 1000, "deadlineMs": 4000, "effect": "idempotent",
	"worth": 1}], "extra": {"cpus": 2, "ramKb": 100000, "runFactor": 4}, "obligations": {"fallMultiple": 4}}`

func rec(code byte, fill func([]byte)) []byte {
	r := make([]byte, simwire.EventSize)
	r[0] = code
	if fill != nil {
		fill(r)
	}
	return r
}

func at(who uint16) []byte {
	return rec(simwire.EvAt, func(r []byte) { binary.BigEndian.PutUint16(r[1:], who) })
}

func enlist(n int) []byte { return enlistAt(0, n) }

func enlistAt(offset, n int) []byte {
	return rec(simwire.EvEnlist, func(r []byte) {
		binary.BigEndian.PutUint32(r[9:], uint32(offset))
		binary.BigEndian.PutUint32(r[13:], uint32(n))
	})
}

func demandOf(id uint64) []byte {
	return rec(simwire.EvDemand, func(r []byte) { binary.BigEndian.PutUint64(r[1:], id) })
}

func frame(clock float64, tail string, recs ...[]byte) []byte {
	body := binary.BigEndian.AppendUint32(nil, uint32(len(recs)))
	body = binary.BigEndian.AppendUint64(body, math.Float64bits(clock))
	for _, r := range recs {
		body = append(body, r...)
	}
	body = append(body, tail...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// codes lists the action codes of every reply in the output.
func codes(t *testing.T, out []byte) (all [][]byte) {
	t.Helper()
	for len(out) > 0 {
		n, size := int(binary.BigEndian.Uint32(out)), int(binary.BigEndian.Uint32(out[4:]))
		var c []byte
		for i := range n {
			c = append(c, out[8+i*simwire.ActionSize])
		}
		all = append(all, c)
		out = out[8+size:]
	}
	return all
}

func TestServe(t *testing.T) {
	in := append(frame(10, ""), frame(12, env, at(1), enlist(len(env)))...)
	in = append(in, frame(14, "", at(1), demandOf(5))...)
	in = append(in, frame(16, env, at(1), rec(simwire.EvExit, nil), enlist(len(env)))...)
	in = append(in, frame(18, "", at(1), rec(simwire.EvExit, nil))...)
	var out bytes.Buffer
	if err := serve(config.Defaults(), bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := codes(t, out.Bytes())
	if len(got) != 5 || len(got[0]) != 0 || len(got[4]) != 0 {
		t.Fatalf("replies %v", got)
	}
	if !bytes.Equal(got[2], []byte{simwire.AcContext, simwire.AcLaunch}) {
		t.Errorf("the demand was answered with %v", got[2])
	}
	if !bytes.Equal(got[1], got[3]) {
		t.Errorf("a restart answered %v, a start %v", got[3], got[1])
	}
}

func TestBadInputStops(t *testing.T) {
	start := frame(12, env, at(1), enlist(len(env)))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"truncated":            {start[:40], "cut short"},
		"impossible length":    {[]byte{0, 0, 0, 3, 1, 2, 3}, "impossible frame length"},
		"unknown event":        {frame(14, "", at(1), rec(77, nil)), "unknown event code 77"},
		"unknown instance":     {frame(14, "", at(9), demandOf(5)), "never started"},
		"event before any At":  {frame(14, "", demandOf(5)), "before any At"},
		"settings out of tail": {frame(14, "", at(1), enlist(50)), "beyond"},
	} {
		var out bytes.Buffer
		err := serve(config.Defaults(), bytes.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		}
		if out.Len() != 0 {
			t.Errorf("%s: wrote %d bytes", name, out.Len())
		}
	}
}

// Settings that can't be served are told to the simulator, with every other answer of the
// batch, and end the process with an error that names them: nothing is served by half a fleet.
func TestUnusableSettingsEndTheProcess(t *testing.T) {
	for name, c := range map[string]struct{ env, want string }{
		"no text":        {"", "instance 2: settings: unexpected end of JSON input"},
		"nothing to run": {`{"extra": {"cpus": 0}}`, "instance 2: setting extra.cpus: 0 is missing"},
	} {
		in := frame(12, env+c.env, at(1), enlist(len(env)), at(2), enlistAt(len(env), len(c.env)))
		in = append(in, frame(14, "", at(1), demandOf(6))...)
		var out bytes.Buffer
		err := serve(config.Defaults(), bytes.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
		got := codes(t, out.Bytes())
		if len(got) != 1 || got[0][len(got[0])-1] != simwire.AcInternalError {
			t.Errorf("%s: answered with %v", name, got)
		}
	}
}

func TestPanicIsAnInternalError(t *testing.T) {
	n := &instance{who: 1}
	n.build(func() error { panic("odd") })
	if n.module != nil || n.actions.Len() != 1 {
		t.Errorf("a panic left %d actions", n.actions.Len())
	}
}
