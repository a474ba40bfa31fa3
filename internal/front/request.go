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

// Limits of the protocol.
const (
	maxBodyBytes = 2 << 10
	maxMemoryKB  = 2000 // exclusive
	txnDigits    = 16   // hexadecimal digits of a transaction name
	maxTagDigits = 18   // so that every tag fits into a uint64

	maxFields = 64 // the protocol defines twelve; fields it does not define are ignored
)

// requestParser parses requests and resolves the names of classes and tenants in them. It is read-only and safe
// for concurrent use. Parsed requests hold no reference to the bytes of the message.
type requestParser struct {
	classes  map[string]int // indices by name
	tenants  map[string]int // indices by name, empty without tenants
	settings rules.Settings
}

// newRequestParser returns a parser for the classes and tenants of the settings.
func newRequestParser(set rules.Settings, names settings.Names) requestParser {
	p := requestParser{classes: map[string]int{}, tenants: map[string]int{}, settings: set}
	for i, n := range names.Classes {
		p.classes[n] = i
	}
	for i, n := range names.Tenants {
		p.tenants[n] = i
	}
	return p
}

// parseTag parses a tag: a decimal number of at most maxTagDigits digits, 1 or more.
func parseTag(b []byte) (uint64, error) {
	if len(b) == 0 || len(b) > maxTagDigits {
		return 0, fmt.Errorf("tag has %d characters, want 1 to %d digits", len(b), maxTagDigits)
	}
	n := uint64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, errors.New("tag is not a decimal number")
		}
		n = n*10 + uint64(c-'0')
	}
	if n == 0 {
		return 0, errors.New("tag is 0")
	}
	return n, nil
}

// parseCall parses a request's class, fields and body, which it copies. The error says what is invalid.
func (p *requestParser) parseCall(class, fields, body []byte) (exchange.Request, error) {
	c := exchange.Request{Class: -1, Tenant: -1}
	i, known := p.classes[string(class)]
	if !known {
		return c, errors.New("unknown class")
	}
	if len(body) > maxBodyBytes {
		return c, fmt.Errorf("body has %d bytes, at most %d are allowed", len(body), maxBodyBytes)
	}
	c.Class, c.ClassName, c.Safe = i, string(class), p.settings.Classes[i].Effect == rules.Safe
	var names [maxFields][]byte // a request has about twelve fields: a linear search is cheaper than a map
	n, requiredCount := 0, 0
	for len(fields) > 0 {
		var field []byte
		field, fields, _ = bytes.Cut(fields, []byte(","))
		name, value, ok := bytes.Cut(field, []byte("="))
		if !ok {
			return c, errors.New("field without \"=\"")
		}
		if slices.ContainsFunc(names[:n], func(o []byte) bool { return bytes.Equal(o, name) }) {
			return c, fmt.Errorf("duplicate field %q", truncate(name))
		}
		if n == maxFields {
			return c, fmt.Errorf("more than %d fields", maxFields)
		}
		names[n] = name
		n++
		if isRequired(name) {
			requiredCount++
		}
		if err := p.parseField(&c, string(name), string(value)); err != nil {
			return c, fmt.Errorf("field %q: %w", truncate(name), err)
		}
	}
	if requiredCount < len(requiredFields) {
		for _, name := range requiredFields {
			if !slices.ContainsFunc(names[:n], func(o []byte) bool { return string(o) == name }) {
				return c, fmt.Errorf("missing field %q", name)
			}
		}
	}
	if c.Tenant < 0 {
		if len(p.tenants) > 0 {
			return c, errors.New("missing tenant: no field \"team\"")
		}
		c.Tenant = 0
	}
	if p.settings.Classes[i].Effect == rules.Keyed && c.Unique == "" {
		return c, errors.New("missing idempotency key: no field \"unique\"")
	}
	c.Body = bytes.Clone(body)
	return c, nil
}

// requiredFields lists the fields that every request must have; isRequired must match it.
var requiredFields = [...]string{"txn", "door", "lb", "ram", "standing"}

func isRequired(name []byte) bool {
	switch string(name) {
	case "txn", "door", "lb", "ram", "standing":
		return true
	}
	return false
}

// truncate shortens b for a log line.
func truncate(b []byte) []byte { return b[:min(len(b), 24)] }

// parseField parses one field into c. Fields with unknown names are ignored.
func (p *requestParser) parseField(c *exchange.Request, name, value string) (err error) {
	switch name {
	case "txn":
		if len(value) != txnDigits {
			return fmt.Errorf("has %d characters, want %d hexadecimal digits", len(value), txnDigits)
		}
		if _, err = strconv.ParseUint(value, 16, 64); err != nil {
			return errors.New("not a hexadecimal number")
		}
		c.Txn = value
	case "door":
		c.ArrivedUnixMs, err = parseNumber(value, 0, math.MaxInt64)
	case "lb":
		var n uint64
		n, err = strconv.ParseUint(value, 10, 32)
		c.Caller = uint32(n)
	case "team":
		i, known := p.tenants[value]
		if !known && len(p.tenants) > 0 {
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
		c.MemoryKB, err = parseNumber(value, 0, maxMemoryKB)
		if err == nil && (c.MemoryKB == 0 || c.MemoryKB == maxMemoryKB) {
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

// parseNumber parses a decimal number from minimum to maximum, both included.
func parseNumber(text string, minimum, maximum float64) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return 0, errors.New("not a number")
	case math.IsNaN(x) || x < minimum || x > maximum:
		return 0, errors.New("out of bounds")
	}
	return x, nil
}
