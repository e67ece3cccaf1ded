package node

import (
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/settings"
)

// defaultRow matches a row of docs/operations/settings.md whose default is a
// duration or a number.
var defaultRow = regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\| (duration|number) \\| ([0-9][0-9,.a-z]*)(?: \\||;)")

// configWith returns the configuration of a core.State when one field of the
// settings is set.
func configWith(t *testing.T, path, value string) core.Config {
	t.Helper()
	names := strings.Split(path, ".")
	text := value
	for i := len(names) - 1; i >= 0; i-- {
		text = `{"` + names[i] + `":` + text + `}`
	}
	var s settings.Settings
	is.New(t).NoErr(json.Unmarshal([]byte(text), &s))
	return CoreConfig(s, "", "", endpoint.Incarnation{}, 0)
}

func TestDocumentedDefaultsAreInUse(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/operations/settings.md")
	is.NoErr(err)
	unset := CoreConfig(settings.Settings{}, "", "", endpoint.Incarnation{}, 0)
	rows := defaultRow.FindAllStringSubmatch(string(page), -1)
	is.True(len(rows) > 20)
	queue := admission.DefaultConfig(1) // these defaults are set by the admission queue
	queueDefaults := map[string]time.Duration{
		"backend.queue.maxWait": queue.MaxWait, "backend.queue.target": queue.Target, "backend.queue.interval": queue.Interval,
	}
	for _, row := range rows {
		if d, ok := queueDefaults[row[1]]; ok {
			is.Equal(row[3], d.String())
			continue
		}
		value := strings.ReplaceAll(row[3], ",", "")
		if row[2] == "duration" {
			value = `"` + value + `"`
		}
		if !reflect.DeepEqual(configWith(t, row[1], value), unset) {
			t.Errorf("%s: docs/operations/settings.md has the default %s, but core.Config has another one", row[1], row[3])
		}
	}
	is.True(!reflect.DeepEqual(configWith(t, "lease.ttl", `"59s"`), unset)) // a value other than the default is detected
}
