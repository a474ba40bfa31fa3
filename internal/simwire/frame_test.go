package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// decodeHex decodes the wire page's notation: hex groups, and "+N" for N zero bytes.
func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	var out []byte
	for _, word := range strings.Fields(text) {
		if rest, ok := strings.CutPrefix(word, "+"); ok {
			n := 0
			for _, c := range rest {
				n = n*10 + int(c-'0')
			}
			out = append(out, make([]byte, n)...)
			continue
		}
		b, err := hex.DecodeString(word)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, b...)
	}
	return out
}

const batchExample = `00000174 00000005 40c06e2000000000
03 0003 +69
0a 000bda025d3a91c4 000247280e6f2b19 406e000000000000 3f200000 4028000000000000 00000000 00000011
 3ffd99999999999a 91f03b7c55d20a64 41c40000 00 01 +5
05 000000000000004d 04 3f1eb852 40400000 3ed1eb85 42f00000 +46
03 0005 +69
09 000247280e6f2b19 +63`

func TestBatchExample(t *testing.T) {
	b, _, err := ReadBatch(bytes.NewReader(decodeHex(t, batchExample)), nil)
	if err != nil {
		t.Fatal(err)
	}
	if b.Count != 5 || b.Clock != 8412250*time.Microsecond {
		t.Fatalf("%d records at %v", b.Count, b.Clock)
	}
	d := b.Record(1)
	if d.Code() != EvDemand || d.U64(1) != 0x000bda025d3a91c4 || d.U64(9) != 0x000247280e6f2b19 ||
		d.Time(17) != 240*time.Millisecond || d.F32(25) != 0.625 || d.Time(29) != 12*time.Millisecond ||
		d.U32(41) != 17 || d.Time(45) != 1850*time.Microsecond || d.F32(61) != 24.5 || d.U8(66) != OptHint {
		t.Errorf("wrong fields of Demand: % x", d)
	}
	if g := b.Record(2); g.U64(1) != 77 || g.U8(9) != 4 || g.F32(14) != 3 || g.F32(22) != 120 {
		t.Errorf("wrong fields of TickDue: % x", g)
	}
	if b.Record(3).U16(1) != 5 || b.Record(4).Code() != EvHangup {
		t.Error("wrong fields of the second instance")
	}
}

func TestReplyExample(t *testing.T) {
	var a, c Actions
	a.ID(AcLaunch, 0x000bda025d3a91c4)
	a.IDTime(AcAfter, 77, 500*time.Millisecond)
	c.Text(AcWriteLog, "two servers know")
	c.tail = append(c.tail[:0], "two servers known"...)
	c.Reset()
	c.Text(AcWriteLog, "two servers known")
	var p Reply
	p.Reset()
	p.Add(3, &a)
	p.Add(5, &c)
	var out bytes.Buffer
	if _, err := p.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, `00000005 00000089 10 0003 +21 01 000bda025d3a91c4 +15
0d 000000000000004d 407f400000000000 +7 10 0005 +21 0e 00000000 00000011 +15
74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  % x\nwant % x", out.Bytes(), want)
	}
}

func TestEmptyBatch(t *testing.T) {
	b, _, err := ReadBatch(bytes.NewReader(decodeHex(t, "0000000c 00000000 40c06e2000000000")), nil)
	if err != nil || b.Count != 0 {
		t.Fatalf("%+v, %v", b, err)
	}
	var p Reply
	p.Reset()
	var out bytes.Buffer
	if _, err := p.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), make([]byte, 8)) {
		t.Errorf("% x, %v", out.Bytes(), err)
	}
}

func TestActionLayouts(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*Actions)
		want string
	}{
		{"PushBack", func(a *Actions) { a.PushBack(0x000247280e6f2b19, 250*time.Millisecond, true) },
			"02 000247280e6f2b19 406f400000000000 01 +6"},
		{"CallDep", func(a *Actions) { a.IDTime(AcCallDep, 0x000bda025d3a91c4, 80*time.Millisecond) },
			"05 000bda025d3a91c4 4054000000000000 +7"},
		{"Keep", func(a *Actions) { a.IDTime(AcKeep, 0x000bda025d3a91c4, 8*time.Second) },
			"07 000bda025d3a91c4 40bf400000000000 +7"},
		{"SetHealth", func(a *Actions) { a.SetHealth(true, false) }, "0a 01 00 +21"},
		{"Signal", func(a *Actions) { a.Signal(0.25) }, "0b 3e800000 +19"},
		{"IdleLimit", func(a *Actions) { a.IdleLimit(2 * time.Second) }, "0c 409f400000000000 +15"},
		{"InternalError", func(a *Actions) { a.Text(AcInternalError, "index out of range") },
			"0f 00000000 00000012 +15"},
	} {
		var a Actions
		c.do(&a)
		if want := decodeHex(t, c.want); !bytes.Equal(a.records, want) {
			t.Errorf("%s: got % x, want % x", c.name, a.records, want)
		}
	}
}

func TestTailsOfSeveralInstances(t *testing.T) {
	var a, c Actions
	a.Text(AcWriteLog, "abc")
	c.Text(AcWriteLog, "de")
	c.Text(AcWriteLog, "f")
	var p Reply
	p.Reset()
	p.Add(1, &a)
	p.Add(2, &c)
	last := p.buf[len(p.buf)-ActionSize:]
	if Record(last).U32(1) != 5 || Record(last).U32(5) != 1 || string(p.tail) != "abcdef" {
		t.Errorf("last reference % x, tail %q", last, p.tail)
	}
}

func TestMalformedFrames(t *testing.T) {
	good := decodeHex(t, batchExample)
	for name, frame := range map[string][]byte{
		"cut in the length": good[:2],
		"cut in the body":   good[:100],
		"length too small":  decodeHex(t, "0000000b +11"),
		"length too large":  decodeHex(t, "ffffffff +20"),
		"too many records":  decodeHex(t, "0000000c 00000001 40c06e2000000000"),
		"clock not finite":  decodeHex(t, "0000000c 00000000 7ff8000000000000"),
	} {
		if _, _, err := ReadBatch(bytes.NewReader(frame), nil); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("end between frames: %v", err)
	}
	b, _, _ := ReadBatch(bytes.NewReader(good), nil)
	rec := Record(make([]byte, EventSize))
	rec[12] = 9
	if _, err := b.Tail(rec, 9); err == nil {
		t.Error("tail reference beyond the tail accepted")
	}
}
