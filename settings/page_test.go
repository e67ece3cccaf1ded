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

// fieldPaths returns the path of every field of a settings type, in order.
func fieldPaths(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		path := strings.TrimPrefix(prefix+"."+jsonName(f), ".")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, fieldPaths(path, f.Type)...)
			continue
		}
		out = append(out, path)
	}
	return out
}

var documentedField = regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\|")

func TestDocumentationListsEveryField(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operations/settings.md")
	is.NoErr(err)
	var documented []string
	for _, row := range documentedField.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1])
	}
	is.Equal(documented, fieldPaths("", reflect.TypeFor[Settings]())) // each field once, in order

	faulty := strings.Replace(string(page), "| `drain.atMost` |", "| drain.atMost |", 1)
	documented = nil
	for _, row := range documentedField.FindAllStringSubmatch(faulty, -1) {
		documented = append(documented, row[1])
	}
	is.True(!slices.Equal(documented, fieldPaths("", reflect.TypeFor[Settings]()))) // the comparison detects a missing row
}
