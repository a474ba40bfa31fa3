// Package scgi encodes and parses the messages of the SCGI protocol: requests (a netstring of headers, then a
// body) and responses (header lines, then a body). Limits bound everything that is parsed. The package works on
// byte slices and does no I/O; it interprets only the headers that the protocol defines: CONTENT_LENGTH and
// SCGI of requests and Status of responses. Its functions are safe for concurrent use.
//
// Sources: SCGI: A Simple Common Gateway Interface alternative, by Neil Schemenauer (2008); netstrings by
// D. J. Bernstein (1997); responses have the form of CGI responses, RFC 3875 section 6.
package scgi

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrIncomplete is returned when the message is valid so far but more bytes are needed.
var ErrIncomplete = errors.New("scgi: incomplete message")

// Limits bound the size of messages. A limit of zero admits nothing.
type Limits struct {
	HeaderBytes int   // of all headers, with their NUL bytes or line ends
	Headers     int   // number of headers
	Body        int64 // bytes of the body of a request
}

// Header is a header as received, or to be sent.
type Header struct{ Name, Value string }

// Request is a request without its body.
type Request struct {
	Headers []Header // in the order received, CONTENT_LENGTH first
	Length  int64    // of the body in bytes
}

// Get returns the value of a header, "" if there is none. Names are case-sensitive.
func (r *Request) Get(name string) string {
	for _, h := range r.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// parseDecimal parses a decimal number of at most limit without sign, spaces or leading zeros.
func parseDecimal(b []byte, limit int64) (int64, error) {
	if len(b) == 0 || len(b) > 1 && b[0] == '0' {
		return 0, errors.New("not a decimal number")
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, errors.New("not a decimal number")
		}
		if n = n*10 + int64(c-'0'); n > limit {
			return 0, fmt.Errorf("larger than %d", limit)
		}
	}
	return n, nil
}

// maxLengthDigits bounds the digits of the length of a netstring; it is checked before the number is parsed.
const maxLengthDigits = 10

// ParseRequest parses the headers at the start of b and returns the number of bytes that they take; the body
// follows. It returns ErrIncomplete if more bytes are needed. After any other error the connection cannot be
// used any more.
func ParseRequest(b []byte, l Limits) (r Request, n int, err error) {
	colon := bytes.IndexByte(b[:min(len(b), maxLengthDigits+1)], ':')
	if colon < 0 {
		for _, c := range b[:min(len(b), maxLengthDigits+1)] {
			if c < '0' || c > '9' {
				return r, 0, errors.New("scgi: request does not begin with the length of its headers")
			}
		}
		if len(b) > maxLengthDigits {
			return r, 0, errors.New("scgi: length of headers: too many digits")
		}
		return r, 0, ErrIncomplete
	}
	size, err := parseDecimal(b[:colon], int64(l.HeaderBytes))
	if err != nil {
		return r, 0, fmt.Errorf("scgi: length of headers: %w", err)
	}
	end := colon + 1 + int(size)
	if len(b) <= end {
		return r, 0, ErrIncomplete
	}
	if b[end] != ',' {
		return r, 0, errors.New("scgi: headers do not end in a comma")
	}
	if err := r.parseHeaders(b[colon+1:end], l); err != nil {
		return Request{}, 0, fmt.Errorf("scgi: %w", err)
	}
	return r, end + 1, nil
}

// parseHeaders parses the content of the netstring.
func (r *Request) parseHeaders(b []byte, l Limits) error {
	seen := map[string]bool{}
	for len(b) > 0 {
		name, rest, ok := bytes.Cut(b, []byte{0})
		value, after, terminated := bytes.Cut(rest, []byte{0})
		switch {
		case !ok || !terminated:
			return errors.New("unterminated header")
		case len(name) == 0:
			return errors.New("empty header name")
		case seen[string(name)]:
			return fmt.Errorf("duplicate header %.40q", name)
		case len(r.Headers) >= l.Headers:
			return fmt.Errorf("more than %d headers", l.Headers)
		}
		seen[string(name)] = true
		r.Headers = append(r.Headers, Header{string(name), string(value)})
		b = after
	}
	if len(r.Headers) == 0 || r.Headers[0].Name != "CONTENT_LENGTH" {
		return errors.New("CONTENT_LENGTH is not the first header")
	}
	var err error
	if r.Length, err = parseDecimal([]byte(r.Headers[0].Value), l.Body); err != nil {
		return fmt.Errorf("CONTENT_LENGTH: %w", err)
	}
	if r.Get("SCGI") != "1" {
		return errors.New("header SCGI is not 1")
	}
	return nil
}

// AppendRequest appends the encoded headers of a request with a body of length bytes, which must follow.
// CONTENT_LENGTH and SCGI are added first. It returns an error for an empty or duplicate name and for a name or
// value with a NUL byte.
func AppendRequest(b []byte, headers []Header, length int64) ([]byte, error) {
	seen := map[string]bool{"CONTENT_LENGTH": true, "SCGI": true}
	var h []byte
	add := func(name, value string) {
		h = append(append(append(append(h, name...), 0), value...), 0)
	}
	add("CONTENT_LENGTH", strconv.FormatInt(length, 10))
	add("SCGI", "1")
	for _, x := range headers {
		if x.Name == "" || seen[x.Name] || strings.ContainsRune(x.Name, 0) || strings.ContainsRune(x.Value, 0) {
			return b, fmt.Errorf("scgi: invalid header %.40q", x.Name)
		}
		seen[x.Name] = true
		add(x.Name, x.Value)
	}
	b = strconv.AppendInt(b, int64(len(h)), 10)
	b = append(b, ':')
	b = append(b, h...)
	return append(b, ','), nil
}

// Response is a response without its body, which extends to the end of the connection.
type Response struct {
	Status  int // 200 if the server sent none
	Reason  string
	Headers []Header // without Status
}

// ParseResponse parses the header lines at the start of b, up to the empty line, and returns the number of
// bytes that they take. Lines end in CR LF or LF. It returns ErrIncomplete if more bytes are needed.
func ParseResponse(b []byte, l Limits) (r Response, n int, err error) {
	r.Status = 200
	for {
		i := bytes.IndexByte(b[n:], '\n')
		if i < 0 {
			if len(b) > l.HeaderBytes {
				return r, 0, fmt.Errorf("scgi: response headers of more than %d bytes", l.HeaderBytes)
			}
			return r, 0, ErrIncomplete
		}
		line := string(bytes.TrimSuffix(b[n:n+i], []byte{'\r'}))
		if n += i + 1; n > l.HeaderBytes {
			return r, 0, fmt.Errorf("scgi: response headers of more than %d bytes", l.HeaderBytes)
		}
		if line == "" {
			return r, n, nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t\x00") {
			return r, 0, fmt.Errorf("scgi: invalid response header line %.40q", line)
		}
		value = strings.Trim(value, " \t")
		if strings.EqualFold(name, "Status") {
			code, reason, _ := strings.Cut(value, " ")
			status, err := parseDecimal([]byte(code), 999)
			if err != nil || status < 100 {
				return r, 0, fmt.Errorf("scgi: invalid status %.40q", value)
			}
			r.Status, r.Reason = int(status), reason
			continue
		}
		if len(r.Headers) >= l.Headers {
			return r, 0, fmt.Errorf("scgi: more than %d response headers", l.Headers)
		}
		r.Headers = append(r.Headers, Header{name, value})
	}
}

// AppendResponse appends the encoded headers of a response; the body must follow. It returns an error for an
// empty name, for a colon, blank, line break or NUL byte in a name, and for a line break or NUL byte in a
// value.
func AppendResponse(b []byte, r Response) ([]byte, error) {
	b = fmt.Appendf(b, "Status: %d", r.Status)
	if r.Reason != "" {
		b = append(append(b, ' '), r.Reason...)
	}
	b = append(b, "\r\n"...)
	for _, h := range r.Headers {
		if h.Name == "" || strings.ContainsAny(h.Name, ": \t\r\n\x00") || strings.ContainsAny(h.Value, "\r\n\x00") {
			return b, fmt.Errorf("scgi: invalid header %.40q", h.Name)
		}
		b = append(append(append(append(b, h.Name...), ": "...), h.Value...), "\r\n"...)
	}
	return append(b, "\r\n"...), nil
}
