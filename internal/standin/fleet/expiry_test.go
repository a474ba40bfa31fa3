package fleet

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// The table of docs/recovery.md lists every piece of state that a component acts on, with its lifetime and
// what happens when it expires. Each row must be complete and name a test that exists.
func TestEveryFactExpires(t *testing.T) {
	text, err := os.ReadFile("../../../docs/recovery.md")
	if err != nil {
		t.Fatal(err)
	}
	const header = "| fact | who acts on it | its life | at its end | test |\n| --- | --- | --- | --- | --- |\n"
	_, table, ok := strings.Cut(string(text), header)
	if !ok {
		t.Fatal("docs/recovery.md has no table of lifetimes")
	}
	tests := map[string]bool{}
	name := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	for _, root := range []string{"../../../internal", "../../../decide", "../../../cmd", "../../../rules"} {
		err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, m := range name.FindAllStringSubmatch(string(source), -1) {
				tests[m[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	rows := 0
	for line := range strings.Lines(table) {
		if !strings.HasPrefix(line, "|") {
			break
		}
		rows++
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 5 {
			t.Errorf("row has %d cells, want 5: %s", len(cells), line)
			continue
		}
		for i := range cells {
			if cells[i] = strings.TrimSpace(cells[i]); cells[i] == "" {
				t.Errorf("row has an empty cell: %s", line)
			}
		}
		if test := cells[4]; test != "the bench's" && !tests[test] {
			t.Errorf("%s: test %s does not exist", cells[0], test)
		}
	}
	if rows < 12 {
		t.Errorf("the table has %d rows, want at least 12", rows)
	}
}
