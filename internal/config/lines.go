package config

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
)

// LineIndex holds the line numbers of a file's sections and keys.
type LineIndex struct{ lines lineIndex }

// Line returns the line of a key, or else of its section, or else 0.
func (p LineIndex) Line(section, key string) int {
	if n := p.lines.line(section, key); n > 0 {
		return n
	}
	return p.lines.sectionLines[section]
}

// IndexLines returns the line numbers of the sections and keys of an INI file, which need not be
// a node's, and the faults that the INI library accepts without an error.
func IndexLines(name string, text []byte) (LineIndex, []Fault) {
	lines, faults := indexLines(name, text)
	return LineIndex{lines}, faults
}

// lineIndex holds the line numbers, from 1, of the sections and keys of a file.
type lineIndex struct {
	sectionLines map[string]int
	keyLines     map[[2]string]int // by section and key
}

// line returns the line of a key, 0 if the file has none.
func (x lineIndex) line(section, key string) int { return x.keyLines[[2]string{section, key}] }

// indexLines returns the line numbers of a file, and the faults that the INI library accepts
// without an error: lines that are neither a section nor a key, and duplicates.
func indexLines(name string, text []byte) (lineIndex, []Fault) {
	index := lineIndex{sectionLines: map[string]int{}, keyLines: map[[2]string]int{}}
	var faults []Fault
	section, n := "", 0
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		n++
		line := strings.TrimSpace(strings.TrimPrefix(lines.Text(), "\ufeff"))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			if i := strings.IndexByte(line, ']'); i > 0 {
				section = strings.TrimSpace(line[1:i])
				if first := index.sectionLines[section]; first > 0 {
					faults = append(faults, Fault{File: name, Line: n, Section: section,
						Message: fmt.Sprintf("duplicate section, first on line %d", first)})
					continue
				}
				index.sectionLines[section] = n
				continue
			}
			faults = append(faults, Fault{File: name, Line: n,
				Message: fmt.Sprintf("%q is not a section: missing closing bracket", line)})
			continue
		}
		i := strings.IndexAny(line, "=:")
		if i <= 0 {
			faults = append(faults, Fault{File: name, Line: n, Section: section,
				Message: fmt.Sprintf("%q is neither a section nor key = value", line)})
			continue
		}
		k := strings.TrimSpace(line[:i])
		if first := index.line(section, k); first > 0 {
			faults = append(faults, Fault{File: name, Line: n, Section: section, Key: k,
				Message: fmt.Sprintf("duplicate key, first on line %d", first)})
			continue
		}
		index.keyLines[[2]string{section, k}] = n
	}
	if err := lines.Err(); err != nil {
		faults = append(faults, Fault{File: name, Line: n + 1, Message: err.Error()})
	}
	return index, faults
}
