package settings

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// fields returns the path of every field of a settings type.
func fields(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		path := strings.TrimPrefix(prefix+"."+jsonName(f), ".")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, fields(path, f.Type)...)
			continue
		}
		out = append(out, path)
	}
	return out
}

var pageRow = regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\|")

func TestPageNamesEveryField(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operations/settings.md")
	is.NoErr(err)
	var named []string
	for _, row := range pageRow.FindAllStringSubmatch(string(page), -1) {
		named = append(named, row[1])
	}
	is.Equal(named, fields("", reflect.TypeFor[Settings]())) // each field once, in order

	faulty := strings.Replace(string(page), "| `drain.atMost` |", "| drain.atMost |", 1)
	named = nil
	for _, row := range pageRow.FindAllStringSubmatch(faulty, -1) {
		named = append(named, row[1])
	}
	is.True(!slices.Equal(named, fields("", reflect.TypeFor[Settings]()))) // a missing row is seen
}
