package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// parse parses a value of the key's kind and checks its range.
func (k *key) parse(text string) (v value, err error) {
	switch k.kind {
	case kindBool:
		switch text {
		case "true", "false":
			v.flag = text == "true"
		default:
			return v, fmt.Errorf("%q is neither true nor false", text)
		}
		return v, nil
	case kindChoice:
		if !slices.Contains(k.choices, text) {
			return v, fmt.Errorf("unknown value %q%s", text, suggestion(text, k.choices))
		}
		v.text = text
		return v, nil
	case kindPath:
		if strings.ContainsRune(text, 0) {
			return v, errors.New("a path must not contain a zero byte")
		}
		v.text = text
		return v, nil
	case kindText:
		if len(text) > 128 {
			return v, errors.New("longer than 128 bytes")
		}
		v.text = text
		return v, nil
	case kindAddress:
		if text != "" {
			if _, err := netip.ParseAddrPort(text); err != nil {
				return v, fmt.Errorf("%q is not an IP address and port such as 127.0.0.1:18001", text)
			}
		}
		v.text = text
		return v, nil
	case kindAddressList:
		for part := range strings.SplitSeq(text, ",") {
			part = strings.TrimSpace(part)
			if text == "" {
				break
			}
			if _, err := netip.ParseAddrPort(part); err != nil {
				return v, fmt.Errorf("%q is not an IP address and port such as 127.0.0.1:18001", part)
			}
			if slices.Contains(v.list, part) {
				return v, fmt.Errorf("%s is listed twice", part)
			}
			v.list = append(v.list, part)
		}
		if int64(len(v.list)) > k.max {
			return v, fmt.Errorf("%d addresses, at most %d are allowed", len(v.list), k.max)
		}
		return v, nil
	case kindInt:
		if v.number, err = strconv.ParseInt(text, 10, 64); err != nil {
			return v, fmt.Errorf("%q is not a whole number", text)
		}
	case kindShare:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) || math.Abs(f) > 1e6 {
			return v, fmt.Errorf("%q is not a share such as 0.04", text)
		}
		v.number = int64(math.Round(f * million))
	case kindSize:
		if v.number, err = parseSize(text); err != nil {
			return v, err
		}
	case kindDuration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return v, fmt.Errorf("%q is not a duration such as 20ms or 1m30s", text)
		}
		v.number = int64(d)
	}
	if v.number < k.min || v.number > k.max {
		return v, fmt.Errorf("%s is out of range: want %s", text, k.validValues())
	}
	return v, nil
}

// durationOf returns the value of a key of kindDuration.
func durationOf(v value) time.Duration { return time.Duration(v.number) }

// sizeUnits are the units of sizes, the largest first.
var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"GB", gb}, {"MB", mb}, {"KB", kb}, {"B", 1}}

// parseSize parses a number of bytes, with or without a unit.
func parseSize(text string) (int64, error) {
	digits, unit := text, int64(1)
	for _, s := range sizeUnits {
		if d, ok := strings.CutSuffix(text, s.unit); ok {
			digits, unit = strings.TrimSpace(d), s.bytes
			break
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/unit {
		return 0, fmt.Errorf("%q is not a size such as 512KB, 64MB or 2GB", text)
	}
	return n * unit, nil
}

// sizeText formats a number of bytes with the largest unit that divides it.
func sizeText(n int64) string {
	for _, s := range sizeUnits {
		if n >= s.bytes && n%s.bytes == 0 {
			return strconv.FormatInt(n/s.bytes, 10) + s.unit
		}
	}
	return "0B"
}
