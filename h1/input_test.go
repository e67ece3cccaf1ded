package h1

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// randomRequest returns a request with a head of up to 20 kB and a body of up to 80 kB, and the text by
// which its handler answers.
func randomRequest(rnd *rand.Rand, i int) (text, answer string) {
	lines := []int{0, 1, 40, 900}[rnd.IntN(4)]
	body := strings.Repeat(fmt.Sprint(i, ","), []int{0, 1, 900, 20_000}[rnd.IntN(4)])
	head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\n%s", i, strings.Repeat("A: value of it\r\n", lines))
	answer = fmt.Sprintf("/%d %d %s", i, lines, body)
	if rnd.IntN(2) == 0 {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), answer
	}
	text = head + "Transfer-Encoding: chunked\r\n\r\n"
	for rest := body; rest != ""; {
		n := min(1+rnd.IntN(6000), len(rest))
		text += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return text + "0\r\n" + []string{"", "T: trailer\r\n"}[rnd.IntN(2)] + "\r\n", answer
}

// TestRequestsInPiecesAreReadWhole guards against bytes that are lost, doubled or taken for those of another
// request, however requests are cut on their way.
func TestRequestsInPiecesAreReadWhole(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			s := New(Config{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					body = []byte(err.Error())
				}
				_, _ = fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(r.Header["A"]), body)
			}))
			server, client := net.Pipe()
			go newConn(s, server).serve()
			defer func() { _ = client.Close() }()
			_ = client.SetDeadline(time.Now().Add(20 * time.Second))
			var text strings.Builder
			var answers []string
			for i := range 12 {
				request, answer := randomRequest(rnd, i)
				text.WriteString(request)
				answers = append(answers, answer)
			}
			go func() {
				for rest := text.String(); rest != ""; {
					n := min(1+rnd.IntN([]int{2, 100, 5000, 50_000}[rnd.IntN(4)]), len(rest))
					if _, err := io.WriteString(client, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			in := bufio.NewReader(client)
			for _, want := range answers {
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				got, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.True(string(got) == want)
			}
		})
	}
}
