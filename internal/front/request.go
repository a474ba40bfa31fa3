// This file owns the reading of requests: tags, fields and their bounds. It must
// never keep a byte of the message it reads, and never answer.

package front

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"

	"robinmast/internal/exchange"
	"robinmast/internal/settings"
	"robinmast/rules"
)

// Bounds of the protocol.
const (
	maxBodyBytes = 2 << 10
	maxMemoryKB  = 2000 // a request books less, kilobytes
	txnDigits    = 16
	maxTagDigits = 18 // more would not fit a tag

	maxFields = 64 // the protocol names twelve; those it does not name are skipped
)

// lanes resolves the names that requests use.
type requestParser struct {
	classes  map[string]int
	tenants  map[string]int
	settings rules.Settings
}

func newRequestParser(set rules.Settings, names settings.Names) requestParser {
	l := requestParser{classes: map[string]int{}, tenants: map[string]int{}, settings: set}
	for i, n := range names.Classes {
		l.classes[n] = i
	}
	for i, n := range names.Tenants {
		l.tenants[n] = i
	}
	return l
}

// parseTag reads a tag: a decimal number from 1 up.
func parseTag(b []byte) (uint64, error) {
	if len(b) == 0 || len(b) > maxTagDigits {
		return 0, errors.New("tag of no or too many digits")
	}
	n := uint64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, errors.New("tag that is no decimal number")
		}
		n = n*10 + uint64(c-'0')
	}
	if n == 0 {
		return 0, errors.New("tag 0")
	}
	return n, nil
}

// parseCall reads a request's class, fields and body. All strings are copied.
func (l *requestParser) parseCall(class, fields, body []byte) (exchange.Request, error) {
	c := exchange.Request{Class: -1, Tenant: -1}
	i, known := l.classes[string(class)]
	if !known {
		return c, errors.New("unknown class")
	}
	if len(body) > maxBodyBytes {
		return c, fmt.Errorf("body of %d bytes", len(body))
	}
	c.Class, c.ClassName, c.Safe = i, string(class), l.settings.Classes[i].Effect == rules.Safe
	var seen [maxFields][]byte // a request has a dozen fields: looking through them is cheaper than a map
	n, need := 0, 0
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte(","))
		name, value, ok := bytes.Cut(field, []byte("="))
		if !ok {
			return c, errors.New("field without a value")
		}
		if slices.ContainsFunc(seen[:n], func(o []byte) bool { return bytes.Equal(o, name) }) {
			return c, fmt.Errorf("field %q twice", truncate(name))
		}
		if n == maxFields {
			return c, errors.New("too many fields")
		}
		seen[n] = name
		n++
		if isRequired(name) {
			need++
		}
		if err := l.parseField(&c, string(name), string(value)); err != nil {
			return c, fmt.Errorf("field %q: %w", truncate(name), err)
		}
	}
	if need < len(requiredFields) {
		for _, name := range requiredFields {
			if !slices.ContainsFunc(seen[:n], func(o []byte) bool { return string(o) == name }) {
				return c, fmt.Errorf("no field %q", name)
			}
		}
	}
	if c.Tenant < 0 {
		if len(l.tenants) > 0 {
			return c, errors.New("no tenant")
		}
		c.Tenant = 0
	}
	if l.settings.Classes[i].Effect == rules.Keyed && c.Unique == "" {
		return c, errors.New("no key to know its tries by")
	}
	c.Body = bytes.Clone(body)
	return c, nil
}

var requiredFields = [...]string{"txn", "door", "lb", "ram", "standing"}

func isRequired(name []byte) bool {
	switch string(name) {
	case "txn", "door", "lb", "ram", "standing":
		return true
	}
	return false
}

func truncate(b []byte) []byte { return b[:min(len(b), 24)] }

// parseField reads one field. Names that are not known are skipped.
func (l *requestParser) parseField(c *exchange.Request, name, value string) (err error) {
	switch name {
	case "txn":
		if len(value) != txnDigits {
			return errors.New("not 16 digits")
		}
		if _, err = strconv.ParseUint(value, 16, 64); err != nil {
			return errors.New("not hexadecimal")
		}
		c.Txn = value
	case "door":
		c.ArrivedUnixMs, err = parseNumber(value, 0, math.MaxInt64)
	case "lb":
		var n uint64
		n, err = strconv.ParseUint(value, 10, 32)
		c.Caller = uint32(n)
	case "team":
		i, known := l.tenants[value]
		if !known && len(l.tenants) > 0 {
			return errors.New("unknown tenant")
		}
		if known {
			c.TenantName = value
		}
		c.Tenant = i
	case "limit":
		c.TimeoutMs, err = parseNumber(value, 0, math.MaxInt64)
	case "second":
		c.Retry = value == "1"
	case "cpu":
		c.HintMs, err = parseNumber(value, 0, 1e9)
	case "ram":
		if c.MemoryKB, err = parseNumber(value, 0, maxMemoryKB); err == nil && (c.MemoryKB == 0 || c.MemoryKB == maxMemoryKB) {
			return errors.New("out of bounds")
		}
	case "standing":
		if c.Rank, err = parseNumber(value, 0, 1); err == nil && c.Rank == 1 {
			return errors.New("out of bounds")
		}
	case "item":
		c.Item = value
	case "unique":
		c.Unique = value
	}
	return err
}

func parseNumber(text string, least, most float64) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return 0, errors.New("not a number")
	case math.IsNaN(x) || x < least || x > most:
		return 0, errors.New("out of bounds")
	}
	return x, nil
}
