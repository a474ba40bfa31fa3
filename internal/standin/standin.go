// Package standin owns what the tests of several packages stand in with for the
// node's peers, written from the published protocol. It must never be used by
// anything but tests, and generates no load.
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

// patience is how long a test waits for what must come.
const waitTimeout = 8 * time.Second

// Eventually waits until ok, and fails the test if that takes too long.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// Listen opens a listener on loopback for the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Serve takes connections on loopback for the test, each by itself, and closes it
// once do returns.
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

// Away takes an address on loopback at which nobody listens until open is
// called. The port is held meanwhile, so that no other test can take it.
func ClosedAddress(t *testing.T) (addr string, open func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "away")
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

// Dispatcher is one connection of a dispatcher.
type Dispatcher struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// Dial connects a dispatcher to a node.
func Dial(t *testing.T, addr string) *Dispatcher {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &Dispatcher{TCPConn: c.(*net.TCPConn), t: t, reader: bufio.NewReaderSize(c, 512)}
}

// Words encodes a message.
func EncodeMessage(parts ...string) []byte {
	b := redcon.AppendArray(nil, len(parts))
	for _, p := range parts {
		b = redcon.AppendBulkString(b, p)
	}
	return b
}

// Say sends a message.
func (d *Dispatcher) Send(parts ...string) {
	d.t.Helper()
	if _, err := d.Write(EncodeMessage(parts...)); err != nil {
		d.t.Error(err)
	}
}

// Hear reads one answer, its parts with spaces between; "EOF" if the connection
// ended instead.
func (d *Dispatcher) Receive() string {
	d.t.Helper()
	_ = d.SetReadDeadline(time.Now().Add(waitTimeout))
	n, err := d.readHeader('*')
	if err != nil {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			d.t.Error("no answer")
		}
		return "EOF"
	}
	parts := make([]string, n)
	for i := range parts {
		size, err := d.readHeader('$')
		if err != nil {
			d.t.Errorf("answer cut short: %v", err)
			return "EOF"
		}
		body := make([]byte, size+2)
		if _, err := io.ReadFull(d.reader, body); err != nil || string(body[size:]) != "\r\n" {
			d.t.Errorf("answer cut short: %v", err)
			return "EOF"
		}
		parts[i] = string(body[:size])
	}
	return strings.Join(parts, " ")
}

// number reads a header that begins with the given byte.
func (d *Dispatcher) readHeader(kind byte) (n int, err error) {
	line, err := d.reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("header %q", line)
	}
	if _, err := fmt.Sscanf(line[1:], "%d\r\n", &n); err != nil || n < 0 {
		return 0, fmt.Errorf("header %q", line)
	}
	return n, nil
}
