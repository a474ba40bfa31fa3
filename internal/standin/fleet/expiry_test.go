package fleet

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Every fact that anybody acts on stands in the table of docs/recovery.md with its life,
// what happens at its end, and a test that is there.
func TestEveryFactExpires(t *testing.T) {
	text, err := os.ReadFile("../../../docs/recovery.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(text), "| fact | who acts on it | its life | at its end | test |\n| --- | --- | --- | --- | --- |\n")
	if !ok {
		t.Fatal("docs/recovery.md has no table of lives")
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
			t.Errorf("a row of %d cells: %s", len(cells), line)
			continue
		}
		for i := range cells {
			if cells[i] = strings.TrimSpace(cells[i]); cells[i] == "" {
				t.Errorf("an empty cell: %s", line)
			}
		}
		if test := cells[4]; test != "the bench's" && !tests[test] {
			t.Errorf("%s: there is no %s", cells[0], test)
		}
	}
	if rows < 12 {
		t.Errorf("%d facts in the table", rows)
	}
}
