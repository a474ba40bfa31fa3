package scgi

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

var limits = Limits{HeaderBytes: 1000, Headers: 10, Body: 100}

// vector is the example in the protocol specification.
const vector = "70:CONTENT_LENGTH\x0027\x00SCGI\x001\x00REQUEST_METHOD\x00POST\x00REQUEST_URI\x00/deepthought\x00," +
	"What is the answer to life?"

// The example of the specification parses, is encoded again to the same bytes, and is incomplete when its
// headers are cut anywhere.
func TestParseRequest(t *testing.T) {
	r, n, err := ParseRequest([]byte(vector), limits)
	if err != nil || r.Length != 27 || r.Get("REQUEST_URI") != "/deepthought" || r.Get("NONE") != "" ||
		vector[n:] != "What is the answer to life?" {
		t.Fatalf("%+v, %d, %v", r, n, err)
	}
	for i := range n { // cut before every byte of the headers
		if _, _, err := ParseRequest([]byte(vector[:i]), limits); !errors.Is(err, ErrIncomplete) {
			t.Errorf("cut at %d: %v", i, err)
		}
	}
	again, err := AppendRequest(nil, r.Headers[2:], r.Length)
	if err != nil || string(again) != vector[:n] {
		t.Errorf("encoded again: %q, %v", again, err)
	}
}

// Malformed requests and headers that cannot be encoded are rejected.
func TestRejectsMalformedRequests(t *testing.T) {
	wrap := func(h string) string { return string(netstring(h)) }
	for text, want := range map[string]string{
		"GET / HTTP/1.1\r\n": "does not begin with the length",
		"-1:,":               "not a decimal number",
		"007:a\x00b\x00":     "not a decimal number",
		":,":                 "not a decimal number",
		"12345678901:":       "too many digits",
		"9999:":              "larger than 1000",
		"99999999999999":     "too many digits",
		"5:CONTEN":           "end in a comma",
		wrap(""):             "CONTENT_LENGTH is not the first",
		wrap("SCGI\x001\x00CONTENT_LENGTH\x000\x00"):                     "CONTENT_LENGTH is not the first",
		wrap("CONTENT_LENGTH\x000\x00"):                                  "SCGI is not 1",
		wrap("CONTENT_LENGTH\x000\x00SCGI\x002\x00"):                     "SCGI is not 1",
		wrap("CONTENT_LENGTH\x00-5\x00SCGI\x001\x00"):                    "CONTENT_LENGTH: not a decimal number",
		wrap("CONTENT_LENGTH\x00101\x00SCGI\x001\x00"):                   "larger than 100",
		wrap("CONTENT_LENGTH\x00\x00SCGI\x001\x00"):                      "CONTENT_LENGTH: not a decimal number",
		wrap("CONTENT_LENGTH\x000\x00SCGI\x001\x00A\x00b\x00A\x00c\x00"): `duplicate header "A"`,
		wrap("CONTENT_LENGTH\x000\x00SCGI\x001\x00\x00b\x00"):            "empty header name",
		wrap("CONTENT_LENGTH\x000\x00SCGI\x001"):                         "unterminated header",
		wrap("CONTENT_LENGTH\x000\x00SCGI\x001\x00" + manyHeaders(9)):    "more than 10 headers",
	} {
		if _, _, err := ParseRequest([]byte(text), limits); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40q: %v, want %s", text, err, want)
		}
	}
	for _, h := range []Header{{"", "v"}, {"SCGI", "1"}, {"A\x00", "v"}, {"A", "v\x00"}} {
		if _, err := AppendRequest(nil, []Header{h}, 0); err == nil {
			t.Errorf("%q is encoded", h)
		}
	}
}

// manyHeaders returns n headers.
func manyHeaders(n int) (s string) {
	for i := range n {
		s += string(rune('a'+i)) + "\x00v\x00"
	}
	return s
}

// netstring encodes a netstring, also of headers that AppendRequest rejects.
func netstring(h string) []byte {
	b := []byte{}
	for n := len(h); ; n /= 10 {
		b = append(b, byte('0'+n%10))
		if n < 10 {
			break
		}
	}
	slices.Reverse(b)
	return append(append(append(b, ':'), h...), ',')
}

// Responses parse with either line end and are encoded again; cut ones are incomplete, malformed ones are
// rejected.
func TestResponse(t *testing.T) {
	const text = "Status: 503 Full\r\nRetry-After: 2\nX-Empty:\r\n\r\nbody"
	r, n, err := ParseResponse([]byte(text), limits)
	if err != nil || r.Status != 503 || r.Reason != "Full" || text[n:] != "body" ||
		!slices.Equal(r.Headers, []Header{{"Retry-After", "2"}, {"X-Empty", ""}}) {
		t.Fatalf("%+v, %d, %v", r, n, err)
	}
	for i := range n {
		if _, _, err := ParseResponse([]byte(text[:i]), limits); !errors.Is(err, ErrIncomplete) {
			t.Errorf("cut at %d: %v", i, err)
		}
	}
	if r, _, err := ParseResponse([]byte("Content-Type: text/plain\r\n\r\n"), limits); err != nil ||
		r.Status != 200 {
		t.Errorf("without a status: %+v, %v", r, err)
	}
	for _, bad := range []string{"no header\r\n\r\n", ": x\r\n\r\n", "Status: 99\r\n\r\n", "Status: abc\r\n\r\n", "a b: c\r\n\r\n",
		strings.Repeat("x", 1001), strings.Repeat("a: b\n", 11) + "\n", "A: " + strings.Repeat("x", 1000) + "\n"} {
		if _, _, err := ParseResponse([]byte(bad), limits); err == nil || errors.Is(err, ErrIncomplete) {
			t.Errorf("%.20q: %v", bad, err)
		}
	}
	b, err := AppendResponse(nil, r)
	if err != nil || string(b) != "Status: 503 Full\r\nRetry-After: 2\r\nX-Empty: \r\n\r\n" {
		t.Errorf("%q, %v", b, err)
	}
	if _, err := AppendResponse(nil, Response{Status: 200, Headers: []Header{{"A", "b\r\nC: d"}}}); err == nil {
		t.Error("a header with a line break is encoded")
	}
}

// Whatever the bytes, nothing beyond the limits is accepted, bytes after the headers do not change the result, and
// what is accepted is encoded again to as many bytes of the same headers, with SCGI as the second.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(vector))
	f.Add([]byte("0:,"))
	f.Add([]byte("28:CONTENT_LENGTH\x000\x00A\x00b\x00SCGI\x001\x00,"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, n, err := ParseRequest(b, limits)
		if err != nil {
			return
		}
		if n > len(b) || r.Length > limits.Body || len(r.Headers) > limits.Headers {
			t.Fatalf("%d of %d bytes, %+v", n, len(b), r)
		}
		again, m, err := ParseRequest(append(slices.Clone(b), "more"...), limits)
		if err != nil || m != n || !slices.Equal(again.Headers, r.Headers) {
			t.Fatalf("with more bytes %+v, %d, %v", again, m, err)
		}
		isVersion := func(h Header) bool { return h.Name == "SCGI" }
		others := slices.DeleteFunc(slices.Clone(r.Headers[1:]), isVersion)
		encoded, err := AppendRequest(nil, others, r.Length)
		if err != nil || len(encoded) != n {
			t.Fatalf("%q is encoded again as %q, %v", b[:n], encoded, err)
		}
		again, _, err = ParseRequest(encoded, limits)
		if err != nil || again.Length != r.Length || !isVersion(again.Headers[1]) || !slices.Equal(again.Headers[2:], others) {
			t.Fatalf("%q encoded again is %+v, %v", b[:n], again, err)
		}
	})
}

// Whatever the bytes, no response beyond the limits is accepted.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("Status: 200 OK\r\nA: b\r\n\r\nbody"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, n, err := ParseResponse(b, limits)
		if err != nil {
			return
		}
		if n > len(b) || n > limits.HeaderBytes || r.Status < 100 || r.Status > 999 || len(r.Headers) > limits.Headers {
			t.Fatalf("%d of %d bytes, %+v", n, len(b), r)
		}
	})
}
