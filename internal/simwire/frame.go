// Package simwire reads and writes the simulator's frames, with the event and action names
// of the simulator's wire page. It knows layouts only; package rules defines what the
// fields mean. Numbers are big-endian, times are float64 milliseconds. Its types are not
// safe for concurrent use.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Sizes of the fixed parts of a frame, in bytes.
const (
	batchHeaderSize = 12 // after the length field: record count and clock
	EventSize       = 72 // an event record
	ActionSize      = 24 // an action record
	maxFrameSize    = 1 << 30
)

// Event codes, under their names on the wire page.
const (
	EvEnlist   = 1  // an instance starts, with its settings
	EvLameDuck = 2  // drain notice
	EvAt       = 3  // the events that follow are for this instance
	EvAtCall   = 4  // a run waits for a downstream call
	EvTickDue  = 5  // a timer fired
	EvEnded    = 6  // a run ended
	EvExit     = 7  // an instance's process ended
	EvCameBack = 8  // a downstream call ended
	EvHangup   = 9  // a caller is gone
	EvDemand   = 10 // a request arrived
)

// Action codes, under their names on the wire page.
const (
	AcLaunch        = 1  // start a run
	AcPushBack      = 2  // refuse a request
	AcFail          = 3  // fail a request
	AcYank          = 4  // preempt a run
	AcCallDep       = 5  // make the downstream call
	AcSkip          = 6  // continue without the call
	AcKeep          = 7  // keep an idempotency record
	AcReleaseKey    = 8  // remove an idempotency record
	AcReuse         = 9  // join the earlier request
	AcSetHealth     = 10 // set the health
	AcSignal        = 11 // publish the load feedback
	AcIdleLimit     = 12 // set the idle timeout of connections
	AcAfter         = 13 // start a timer
	AcWriteLog      = 14 // write a log line
	AcInternalError = 15 // the instance has failed
	AcContext       = 16 // the actions that follow are of this instance
)

// Bits of the opts field of a Demand.
const (
	OptHint  = 1 // the expected work is given
	OptRetry = 2 // a further try
	OptWrite = 4 // a write
)

// Batch is one frame of events.
type Batch struct {
	Clock   time.Duration // the simulator's clock
	Count   int           // event records
	records []byte
	tail    []byte // texts that records refer to
}

// Record is one event record; fields are addressed by the offsets of the wire page.
type Record []byte

// ReadBatch reads one frame into buf, growing it as needed, and returns the batch, which
// refers to the buffer, and the buffer. At the end of input between two frames it returns
// io.EOF itself; any other error is wrapped.
func ReadBatch(r io.Reader, buf []byte) (Batch, []byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, buf, io.EOF
		}
		return Batch{}, buf, fmt.Errorf("frame cut short in its length: %w", err)
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return Batch{}, buf, fmt.Errorf("impossible frame length %d", size)
	}
	if cap(buf) < size {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	if _, err := io.ReadFull(r, buf); err != nil {
		return Batch{}, buf, fmt.Errorf("frame of %d bytes cut short: %w", size, err)
	}
	b, err := parseBatch(buf)
	return b, buf, err
}

// parseBatch parses the body of a frame, after its length.
func parseBatch(body []byte) (Batch, error) {
	count := int(binary.BigEndian.Uint32(body))
	clock := math.Float64frombits(binary.BigEndian.Uint64(body[4:]))
	rest := body[batchHeaderSize:]
	if count > len(rest)/EventSize {
		return Batch{}, fmt.Errorf("%d records do not fit a frame of %d bytes", count, len(body))
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, errors.New("clock is not a finite number")
	}
	n := count * EventSize
	return Batch{Clock: Duration(clock), Count: count, records: rest[:n], tail: rest[n:]}, nil
}

// Record returns event record i, counted from 0.
func (b Batch) Record(i int) Record { return Record(b.records[i*EventSize : (i+1)*EventSize]) }

// Tail returns the bytes of the batch's tail to which the reference at the given offset of a record points. It
// returns an error if they lie beyond the tail.
func (b Batch) Tail(r Record, offset int) ([]byte, error) {
	start, n := uint64(r.U32(offset)), uint64(r.U32(offset+4))
	if start+n > uint64(len(b.tail)) {
		return nil, fmt.Errorf("tail reference %d+%d beyond %d bytes", start, n, len(b.tail))
	}
	return b.tail[start : start+n], nil
}

// Code returns the record's event code.
func (r Record) Code() byte { return r[0] }

// U8 reads one byte.
func (r Record) U8(offset int) byte { return r[offset] }

// U16 reads a two-byte number.
func (r Record) U16(offset int) uint16 { return binary.BigEndian.Uint16(r[offset:]) }

// U32 reads a four-byte number.
func (r Record) U32(offset int) uint32 { return binary.BigEndian.Uint32(r[offset:]) }

// U64 reads an eight-byte number.
func (r Record) U64(offset int) uint64 { return binary.BigEndian.Uint64(r[offset:]) }

// F32 reads a four-byte float; NaN and infinities read as 0.
func (r Record) F32(offset int) float64 {
	return finiteOrZero(float64(math.Float32frombits(binary.BigEndian.Uint32(r[offset:]))))
}

// Time reads a time in milliseconds; NaN and infinities read as 0.
func (r Record) Time(offset int) time.Duration {
	return Duration(finiteOrZero(math.Float64frombits(binary.BigEndian.Uint64(r[offset:]))))
}

// finiteOrZero returns x, or 0 if x is NaN or infinite.
func finiteOrZero(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	return x
}

// Duration converts wire milliseconds to a duration, rounded to the nearest microsecond.
func Duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// milliseconds converts a duration to wire milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Actions collects the actions of one instance in one batch.
type Actions struct {
	records []byte
	tail    []byte
	logRefs []int // offsets of tail references, adjusted when tails are joined
}

// Reset empties the buffer.
func (a *Actions) Reset() {
	a.records, a.tail, a.logRefs = a.records[:0], a.tail[:0], a.logRefs[:0]
}

// Len returns the number of records collected.
func (a *Actions) Len() int { return len(a.records) / ActionSize }

// add appends an empty record and returns it.
func (a *Actions) add(code byte) []byte {
	var rec [ActionSize]byte
	rec[0] = code
	a.records = append(a.records, rec[:]...)
	return a.records[len(a.records)-ActionSize:]
}

// ID adds an action whose only field is a request.
func (a *Actions) ID(code byte, id uint64) { binary.BigEndian.PutUint64(a.add(code)[1:], id) }

// IDTime adds an action whose fields are a request, or a timer's token, and a duration.
func (a *Actions) IDTime(code byte, id uint64, d time.Duration) {
	r := a.add(code)
	binary.BigEndian.PutUint64(r[1:], id)
	binary.BigEndian.PutUint64(r[9:], math.Float64bits(milliseconds(d)))
}

// PushBack adds a refusal; stopRetrying tells the caller to stop retrying.
func (a *Actions) PushBack(id uint64, retryAfter time.Duration, stopRetrying bool) {
	a.IDTime(AcPushBack, id, retryAfter)
	if stopRetrying {
		a.records[len(a.records)-ActionSize+17] = 1
	}
}

// SetHealth adds a change of the health; stored is passed on from rules.Host.
func (a *Actions) SetHealth(stored, on bool) {
	r := a.add(AcSetHealth)
	r[1], r[2] = boolByte(stored), boolByte(on)
}

func boolByte(on bool) byte {
	if on {
		return 1
	}
	return 0
}

// Signal adds the publication of a load feedback value.
func (a *Actions) Signal(x float64) {
	binary.BigEndian.PutUint32(a.add(AcSignal)[1:], math.Float32bits(float32(x)))
}

// IdleLimit adds an idle timeout of connections.
func (a *Actions) IdleLimit(d time.Duration) {
	binary.BigEndian.PutUint64(a.add(AcIdleLimit)[1:], math.Float64bits(milliseconds(d)))
}

// Text adds a WriteLog or InternalError action with its text.
func (a *Actions) Text(code byte, line string) {
	r := a.add(code)
	binary.BigEndian.PutUint32(r[1:], uint32(len(a.tail)))
	binary.BigEndian.PutUint32(r[5:], uint32(len(line)))
	a.logRefs = append(a.logRefs, len(a.records)-ActionSize+1)
	a.tail = append(a.tail, line...)
}

// Reply builds one reply frame.
type Reply struct {
	buf     []byte
	tail    []byte
	records int
}

// Reset starts a new reply.
func (p *Reply) Reset() {
	p.buf, p.tail, p.records = append(p.buf[:0], make([]byte, 8)...), p.tail[:0], 0
}

// Add appends a Context record and the instance's actions, or nothing if there are none.
func (p *Reply) Add(instance uint16, a *Actions) {
	if a.Len() == 0 {
		return
	}
	var ctx [ActionSize]byte
	ctx[0] = AcContext
	binary.BigEndian.PutUint16(ctx[1:], instance)
	p.buf = append(p.buf, ctx[:]...)
	base := len(p.buf)
	p.buf = append(p.buf, a.records...)
	for _, offset := range a.logRefs {
		ref := p.buf[base+offset:]
		binary.BigEndian.PutUint32(ref, binary.BigEndian.Uint32(ref)+uint32(len(p.tail)))
	}
	p.tail = append(p.tail, a.tail...)
	p.records += 1 + a.Len()
}

// WriteTo writes the frame; Reset must be called before the next one.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	p.buf = append(p.buf, p.tail...)
	binary.BigEndian.PutUint32(p.buf, uint32(p.records))
	binary.BigEndian.PutUint32(p.buf[4:], uint32(len(p.buf)-8))
	n, err := w.Write(p.buf)
	if err != nil {
		return int64(n), fmt.Errorf("write reply: %w", err)
	}
	return int64(n), nil
}
