package stream

import "bytes"

// Framer finds where messages end, so that only whole ones are passed on. It gets every byte once, in order,
// and keeps none.
type Framer interface {
	// Scan takes the next bytes. It returns how many of them, from the first, belong to messages that are
	// now whole (0 if none became whole). The reason is BadFraming or TooLong if the bytes after those are
	// not a valid message, else StillOpen.
	Scan(p []byte) (whole int, reason CloseReason)
}

// Bytes does no framing: every byte is passed on as it comes.
type Bytes struct{}

// Scan accepts all bytes.
func (Bytes) Scan(p []byte) (int, CloseReason) { return len(p), StillOpen }

// Lines frames messages that end in a line feed and have at most MaxLength bytes before it.
type Lines struct {
	MaxLength int // bytes
	openBytes int // bytes of the incomplete line
}

// Scan finds the last line feed and checks the length of every line.
func (l *Lines) Scan(p []byte) (int, CloseReason) {
	whole := 0
	for {
		i := bytes.IndexByte(p[whole:], '\n')
		if i < 0 {
			break
		}
		if l.openBytes+i > l.MaxLength {
			return whole, TooLong
		}
		whole += i + 1
		l.openBytes = 0
	}
	l.openBytes += len(p) - whole
	if l.openBytes > l.MaxLength {
		return whole, TooLong
	}
	return whole, StillOpen
}

// Bounds of a RESP message. They are far above what the protocol allows, so that a request that is merely too
// big is still answered.
const (
	maxRESPParts        = 16       // array elements
	maxRESPPartBytes    = 8 << 10  // of an element
	maxRESPMessageBytes = 12 << 10 // of a message
)

// RESP frames arrays of bulk strings, the form of requests in the Redis protocol, and rejects everything else.
// Its bounds protect redcon's command reader, which would accept inline commands, buffer a bulk string of any
// size and accept any array length.
type RESP struct {
	state        respState
	number       int // value of the current header
	digits       int // digits of it read so far
	partsLeft    int // array elements still to come, -1 = in the array header
	skipBytes    int // bytes of the bulk string still to come
	messageBytes int // bytes of the message so far
}

type respState uint8

const (
	respStart    respState = iota // at a '*'
	respNumber                    // in a header's digits
	respLineFeed                  // at a header's '\n'
	respDollar                    // at a '$'
	respBulk                      // inside a bulk string
	respBulkCR                    // at the '\r' after a bulk string
	respBulkLF                    // at the '\n' after a bulk string
)

// Scan parses the framing byte by byte, and skips over the content of bulk strings.
func (f *RESP) Scan(p []byte) (int, CloseReason) {
	whole := 0
	for i := 0; i < len(p); i++ {
		c := p[i]
		if f.messageBytes++; f.messageBytes > maxRESPMessageBytes {
			return whole, TooLong
		}
		switch f.state {
		case respStart, respDollar:
			want := byte('*')
			if f.state == respDollar {
				want = '$'
			}
			if c != want {
				return whole, BadFraming
			}
			if f.state == respStart {
				f.partsLeft = -1
			}
			f.number, f.digits, f.state = 0, 0, respNumber
		case respNumber:
			switch {
			case c >= '0' && c <= '9' && f.digits < 6:
				f.number = f.number*10 + int(c-'0')
				f.digits++
			case c == '\r' && f.digits > 0:
				f.state = respLineFeed
			case c >= '0' && c <= '9':
				return whole, TooLong
			default:
				return whole, BadFraming
			}
		case respLineFeed:
			if c != '\n' {
				return whole, BadFraming
			}
			if f.partsLeft < 0 { // that was the array header
				if f.number == 0 {
					return whole, BadFraming
				}
				if f.number > maxRESPParts {
					return whole, TooLong
				}
				f.partsLeft, f.state = f.number, respDollar
				continue
			}
			if f.number > maxRESPPartBytes {
				return whole, TooLong
			}
			f.skipBytes, f.state = f.number, respBulk
			if f.skipBytes == 0 {
				f.state = respBulkCR
			}
		case respBulk:
			n := min(f.skipBytes, len(p)-i)
			f.skipBytes -= n
			f.messageBytes += n - 1
			i += n - 1
			if f.messageBytes > maxRESPMessageBytes {
				return whole, TooLong
			}
			if f.skipBytes == 0 {
				f.state = respBulkCR
			}
		case respBulkCR:
			if c != '\r' {
				return whole, BadFraming
			}
			f.state = respBulkLF
		case respBulkLF:
			if c != '\n' {
				return whole, BadFraming
			}
			if f.partsLeft--; f.partsLeft > 0 {
				f.state = respDollar
				continue
			}
			f.state, f.messageBytes, whole = respStart, 0, i+1
		}
	}
	return whole, StillOpen
}
