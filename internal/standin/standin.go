// Package standin has helpers that the tests of several packages share: waiting for a condition, listeners on
// loopback, a client connection of a dispatcher, and a certificate authority. The connection is written from the
// published protocol. The package is for tests only.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// waitTimeout is how long a test waits for a condition or an answer.
const waitTimeout = 8 * time.Second

// Eventually waits until ok returns true and fails the test after waitTimeout; what names the condition in the
// failure message.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Listen opens a listener on loopback, which is closed when the test ends.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Serve accepts connections on loopback until the test ends. It calls do for each in a goroutine of its own and
// closes the connection when do returns.
func Serve(t *testing.T, do func(net.Conn)) (addr string) {
	t.Helper()
	ln := Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				do(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// ClosedAddress reserves an address on loopback that refuses connections until open is called, which returns
// its listener. The port is bound meanwhile, so that no other test can get it.
func ClosedAddress(t *testing.T) (addr string, open func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "closed address")
	t.Cleanup(func() { f.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), func() net.Listener {
		if err := syscall.Listen(fd, 16); err != nil {
			t.Fatal(err)
		}
		ln, err := net.FileListener(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
}

// Dispatcher is one connection of a dispatcher to a node. It is not safe for concurrent use, but one goroutine
// may send while another receives.
type Dispatcher struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// Dial connects a dispatcher to a node; the connection is closed when the test ends.
func Dial(t *testing.T, addr string) *Dispatcher {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &Dispatcher{TCPConn: c.(*net.TCPConn), t: t, reader: bufio.NewReaderSize(c, 512)}
}

// EncodeMessage encodes a message as an array of bulk strings (RESP).
func EncodeMessage(parts ...string) []byte {
	b := redcon.AppendArray(nil, len(parts))
	for _, p := range parts {
		b = redcon.AppendBulkString(b, p)
	}
	return b
}

// Send sends a message.
func (d *Dispatcher) Send(parts ...string) {
	d.t.Helper()
	if _, err := d.Write(EncodeMessage(parts...)); err != nil {
		d.t.Error(err)
	}
}

// Receive reads one answer and returns its parts separated by spaces, or "EOF" if the connection ended. It
// fails the test if nothing comes within waitTimeout or an answer is incomplete.
func (d *Dispatcher) Receive() string {
	d.t.Helper()
	_ = d.SetReadDeadline(time.Now().Add(waitTimeout))
	n, err := d.readHeader('*')
	if err != nil {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			d.t.Error("no answer within the timeout")
		}
		return "EOF"
	}
	parts := make([]string, n)
	for i := range parts {
		size, err := d.readHeader('$')
		if err != nil {
			d.t.Errorf("incomplete answer: %v", err)
			return "EOF"
		}
		body := make([]byte, size+2)
		if _, err := io.ReadFull(d.reader, body); err != nil || string(body[size:]) != "\r\n" {
			d.t.Errorf("incomplete answer: %v", err)
			return "EOF"
		}
		parts[i] = string(body[:size])
	}
	return strings.Join(parts, " ")
}

// readHeader reads the header line of an array ('*') or a bulk string ('$') and returns its length.
func (d *Dispatcher) readHeader(kind byte) (n int, err error) {
	line, err := d.reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("unexpected header %q", line)
	}
	if _, err := fmt.Sscanf(line[1:], "%d\r\n", &n); err != nil || n < 0 {
		return 0, fmt.Errorf("unexpected header %q", line)
	}
	return n, nil
}
