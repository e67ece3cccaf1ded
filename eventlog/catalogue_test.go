package eventlog

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/notice"
)

// entry is one event, as listed in the catalogue or defined in the code.
type entry struct{ number, level, text string }

// catalogue reads the table of docs/EVENTS.md: its entries in order, and
// the fields by event number.
func catalogue(t *testing.T) (entries []entry, fields map[string][]string) {
	t.Helper()
	is := is.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	is.NoErr(err)
	fields = map[string][]string{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if len(cells) != 8 {
			continue
		}
		if _, err := strconv.Atoi(cells[1]); err != nil {
			continue // not a row of an event
		}
		entries = append(entries, entry{cells[1], cells[2], cells[3]})
		fields[cells[1]] = strings.FieldsFunc(cells[4], func(r rune) bool { return r == ',' || r == ' ' })
		slices.Sort(fields[cells[1]])
		is.True(cells[5] != "" && cells[6] != "") // every event has a meaning and a recommended action
	}
	return entries, fields
}

func TestCatalogueMatchesCode(t *testing.T) {
	is := is.New(t)
	var code []entry
	for c, text := range notice.All() {
		code = append(code, entry{fmt.Sprint(int(c)), c.Level().String(), text})
	}
	slices.SortFunc(code, func(a, b entry) int { return strings.Compare(a.number, b.number) })
	documented, _ := catalogue(t)
	is.Equal(documented, code) // the same numbers, levels and texts in both
}

// TestNoEventHasACommonField guards against a field that has the name of
// one in every line: parsers use the last of two fields with one name, so
// "node" as a field would replace the node that wrote the line.
func TestNoEventHasACommonField(t *testing.T) {
	_, fields := catalogue(t)
	for number, names := range fields {
		for _, name := range names {
			if slices.Contains([]string{"node", "event", "level", "msg", "ts"}, name) {
				t.Errorf("event %s has a field %q, which every line has", number, name)
			}
		}
	}
}
