// Package scgi owns the SCGI protocol in bytes: requests (a netstring of headers,
// then a body) and responses (header lines, then a body), bounded in every way. It
// must never read or write a connection, and never know what a header means
// beyond the two that the protocol names.
//
// Source: SCGI: A Simple Common Gateway Interface alternative, by Neil
// Schemenauer (2008); netstrings by D. J. Bernstein (1997); the response's form is
// that of CGI, RFC 3875 section 6.
package scgi

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrShort says that more bytes are needed to tell anything.
var ErrIncomplete = errors.New("scgi: more bytes are needed")

// Limits bound what is taken. A zero limit takes nothing.
type Limits struct {
	HeaderBytes int   // of all headers, names and values with their zero bytes
	Headers     int   // how many
	Body        int64 // bytes
}

// Header is one header, as it came.
type Header struct{ Name, Value string }

// Request is a request without its body.
type Request struct {
	Headers []Header // in their order, CONTENT_LENGTH first
	Length  int64    // of the body
}

// Get is the value of a header, "" if there is none.
func (r *Request) Get(name string) string {
	for _, h := range r.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// digits reads a decimal number without sign, spaces or leading zeros.
func parseDecimal(b []byte, most int64) (int64, error) {
	if len(b) == 0 || len(b) > 1 && b[0] == '0' {
		return 0, errors.New("no number")
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, errors.New("no number")
		}
		if n = n*10 + int64(c-'0'); n > most {
			return 0, fmt.Errorf("larger than %d", most)
		}
	}
	return n, nil
}

// numberBytes bounds the digits of a netstring's length before anything is believed.
const maxLengthDigits = 10

// ParseRequest reads the headers that begin b, and returns how many bytes they
// take; the body follows. ErrShort asks for more bytes; with any other error the
// connection is good for nothing more.
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

func (r *Request) parseHeaders(b []byte, l Limits) error {
	seen := map[string]bool{}
	for len(b) > 0 {
		name, rest, ok := bytes.Cut(b, []byte{0})
		value, after, ok2 := bytes.Cut(rest, []byte{0})
		switch {
		case !ok || !ok2:
			return errors.New("a header without its end")
		case len(name) == 0:
			return errors.New("a header without a name")
		case seen[string(name)]:
			return fmt.Errorf("header %.40q twice", name)
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

// AppendRequest encodes the headers of a request with a body of length bytes,
// which the caller sends behind. CONTENT_LENGTH and SCGI are put first; names and
// values must hold no zero byte, names must differ and not be empty.
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
			return b, fmt.Errorf("scgi: header %.40q can't be sent", x.Name)
		}
		seen[x.Name] = true
		add(x.Name, x.Value)
	}
	b = strconv.AppendInt(b, int64(len(h)), 10)
	b = append(b, ':')
	b = append(b, h...)
	return append(b, ','), nil
}

// Response is a response without its body, which lasts until the connection ends.
type Response struct {
	Status  int // 200 if the server told none
	Reason  string
	Headers []Header // without Status
}

// ParseResponse reads the header lines that begin b, up to the empty line, and
// returns how many bytes they take. Lines end in CR LF or LF.
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
			return r, 0, fmt.Errorf("scgi: response line %.40q is no header", line)
		}
		value = strings.Trim(value, " \t")
		if strings.EqualFold(name, "Status") {
			code, reason, _ := strings.Cut(value, " ")
			status, err := parseDecimal([]byte(code), 999)
			if err != nil || status < 100 {
				return r, 0, fmt.Errorf("scgi: status %.40q", value)
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

// AppendResponse encodes a response's headers; the body follows. Names and
// values must hold no line break.
func AppendResponse(b []byte, r Response) ([]byte, error) {
	b = fmt.Appendf(b, "Status: %d", r.Status)
	if r.Reason != "" {
		b = append(append(b, ' '), r.Reason...)
	}
	b = append(b, "\r\n"...)
	for _, h := range r.Headers {
		if h.Name == "" || strings.ContainsAny(h.Name, ": \t\r\n\x00") || strings.ContainsAny(h.Value, "\r\n\x00") {
			return b, fmt.Errorf("scgi: header %.40q can't be sent", h.Name)
		}
		b = append(append(append(append(b, h.Name...), ": "...), h.Value...), "\r\n"...)
	}
	return append(b, "\r\n"...), nil
}
