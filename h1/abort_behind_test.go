package h1_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/h1"
)

// TestResponseBehindCutOneIsWritten guards against bytes of another response on a connection that
// is being closed for a cut one: they would stand in its body.
func TestResponseBehindCutOneIsWritten(t *testing.T) {
	const behind, rounds = 8, 300
	is := is.New(t)
	for range rounds {
		arrived, goOn := make(chan bool, behind), make(chan bool)
		_, c := start(t, h1.Config{}, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/cut" {
				w.Header().Set("Content-Length", "100000")
				_, _ = io.WriteString(w, "half")
				_ = http.NewResponseController(w).Flush()
				<-goOn
				panic(http.ErrAbortHandler)
			}
			arrived <- true
			<-r.Context().Done()
			_, _ = io.WriteString(w, "intruder")
		})
		_, err := io.WriteString(c, getRequest("/cut")+strings.Repeat(getRequest("/"), behind))
		is.NoErr(err)
		for range behind {
			receive(t, arrived, "a request")
		}
		close(goOn)
		all, _ := io.ReadAll(c)
		is.True(strings.HasSuffix(string(all), "half"))
		_ = c.Close()
	}
}
