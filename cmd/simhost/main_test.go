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

const settingsJSON = `{"tickMs": 2, "groupSize": 2, "lanes": [{"aimMs": 1000, "deadlineMs": 4000, "effect": "idempotent",
	"worth": 1}], "extra": {"cpus": 2, "ramKb": 100000, "runFactor": 4}, "obligations": {"fallMultiple": 4}}`

// record returns an event record whose fields are set by fill.
func record(code byte, fill func([]byte)) []byte {
	r := make([]byte, simwire.EventSize)
	r[0] = code
	if fill != nil {
		fill(r)
	}
	return r
}

func atRecord(instance uint16) []byte {
	return record(simwire.EvAt, func(r []byte) { binary.BigEndian.PutUint16(r[1:], instance) })
}

func enlistRecord(n int) []byte { return enlistRecordAt(0, n) }

func enlistRecordAt(offset, n int) []byte {
	return record(simwire.EvEnlist, func(r []byte) {
		binary.BigEndian.PutUint32(r[9:], uint32(offset))
		binary.BigEndian.PutUint32(r[13:], uint32(n))
	})
}

func demandRecord(id uint64) []byte {
	return record(simwire.EvDemand, func(r []byte) { binary.BigEndian.PutUint64(r[1:], id) })
}

// frame encodes a batch of events.
func frame(clock float64, tail string, recs ...[]byte) []byte {
	body := binary.BigEndian.AppendUint32(nil, uint32(len(recs)))
	body = binary.BigEndian.AppendUint64(body, math.Float64bits(clock))
	for _, r := range recs {
		body = append(body, r...)
	}
	body = append(body, tail...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// actionCodes lists the action codes of every reply in the output.
func actionCodes(t *testing.T, out []byte) (all [][]byte) {
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
	in := append(frame(10, ""), frame(12, settingsJSON, atRecord(1), enlistRecord(len(settingsJSON)))...)
	in = append(in, frame(14, "", atRecord(1), demandRecord(5))...)
	in = append(in, frame(16, settingsJSON, atRecord(1), record(simwire.EvExit, nil), enlistRecord(len(settingsJSON)))...)
	in = append(in, frame(18, "", atRecord(1), record(simwire.EvExit, nil))...)
	var out bytes.Buffer
	if err := serve(config.Defaults(), bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := actionCodes(t, out.Bytes())
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

func TestMalformedInputEndsServe(t *testing.T) {
	start := frame(12, settingsJSON, atRecord(1), enlistRecord(len(settingsJSON)))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"truncated":            {start[:40], "cut short"},
		"impossible length":    {[]byte{0, 0, 0, 3, 1, 2, 3}, "impossible frame length"},
		"unknown event":        {frame(14, "", atRecord(1), record(77, nil)), "unknown event code 77"},
		"unknown instance":     {frame(14, "", atRecord(9), demandRecord(5)), "never started"},
		"event before any At":  {frame(14, "", demandRecord(5)), "before any At"},
		"settings out of tail": {frame(14, "", atRecord(1), enlistRecord(50)), "beyond"},
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

// Invalid settings are reported to the simulator, with all other actions of the batch, and
// end the process with an error that names them: no batch is served by part of a fleet.
func TestInvalidSettingsEndTheProcess(t *testing.T) {
	for name, c := range map[string]struct{ env, want string }{
		"no text":        {"", "instance 2: settings: unexpected end of JSON input"},
		"nothing to run": {`{"extra": {"cpus": 0}}`, "instance 2: setting extra.cpus: 0 is missing"},
	} {
		in := frame(12, settingsJSON+c.env, atRecord(1), enlistRecord(len(settingsJSON)), atRecord(2), enlistRecordAt(len(settingsJSON), len(c.env)))
		in = append(in, frame(14, "", atRecord(1), demandRecord(6))...)
		var out bytes.Buffer
		err := serve(config.Defaults(), bytes.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
		got := actionCodes(t, out.Bytes())
		if len(got) != 1 || got[0][len(got[0])-1] != simwire.AcInternalError {
			t.Errorf("%s: answered with %v", name, got)
		}
	}
}

func TestPanicReportsInternalError(t *testing.T) {
	n := &instance{id: 1}
	n.protect(func() error { panic("defect") })
	if n.module != nil || n.actions.Len() != 1 {
		t.Errorf("a panic left %d actions", n.actions.Len())
	}
}
