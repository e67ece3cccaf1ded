package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/internal/sample"
	"github.com/agatekeel/agatekeel/proxy"
)

// counted returns the value of one of a node's counters.
func (mn *meshNode) counted(metric string) int64 {
	return metrics.GetOrRegisterCounter(metric, mn.metrics).Count()
}

// sentBytes returns how many bytes a node has sent over its network link, and the
// part of them that is large responses.
func (mn *meshNode) sentBytes() (sent, large int64) {
	return mn.counted(proxy.UplinkSentMetric), mn.counted(proxy.UplinkLargeMetric)
}

// putCallersElsewhere makes all callers count as being on other hosts than their entry
// nodes.
func (m *mesh) putCallersElsewhere() {
	for _, n := range m.nodes {
		n.proxy.PutCallersElsewhere()
	}
}

// TestAnswerToCallerOnHostTakesItsLink asks for large answers that would take the link a
// minute, at the node beside the backend server and at another one.
func TestAnswerToCallerOnHostTakesItsLink(t *testing.T) {
	const link, bytes = 100_000, 6_000_000 // bytes per second, bytes
	is := is.New(t)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.LinkBytes = link }, "orders", "")
	for range 2 { // the second one is known to be large
		resp, body, err := m.do(0, http.MethodGet, "/checks?answerBytes="+strconv.Itoa(bytes), "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(len(body) >= bytes)
	}
	m.eventually("the answers are counted", func() bool { return m.nodes[0].counted(proxy.OnHostMetric) >= 2*bytes })
	sent, large := m.nodes[0].sentBytes()
	is.Equal(large, int64(0))
	is.True(sent < link)
	const overHop = 2 * link
	resp, body, err := m.do(1, http.MethodGet, "/checks?answerBytes="+strconv.Itoa(overHop), "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(m.nodes[0].counted(proxy.UplinkOwnMetric), int64(len(body)))
	sent, large = m.nodes[1].sentBytes()
	is.Equal(large, int64(0))
	is.True(sent < int64(len(body)))
}

// TestSentBytesAreCounted checks that both nodes on the way of a response count
// its bytes, and count those of large responses separately.
func TestSentBytesAreCounted(t *testing.T) {
	const (
		firstPart = 32 << 10 // bytes after which a response of undeclared length counts as large
		headers   = 2000     // bytes, at most: of the response and, at the entry node, of the request to the other node
	)
	for _, tt := range []struct {
		path            string
		large, declared bool
	}{
		{"/?answerBytes=100000", true, true},
		{"/?answerBytes=100000&chunked=true", true, false},
		{"/?answerBytes=1000", false, true},
	} {
		t.Run(tt.path, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, nil, "", "orders")
			m.putCallersElsewhere()
			resp, body, err := m.do(0, http.MethodGet, tt.path, "")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			size := int64(len(body))
			entry, target := m.nodes[0], m.nodes[1]
			for _, node := range m.nodes {
				m.eventually("the response is counted", func() bool {
					sent, _ := node.sentBytes()
					return sent >= size
				})
				sent, large := node.sentBytes()
				is.True(sent < size+headers)
				switch {
				case !tt.large:
					is.Equal(large, int64(0))
				case tt.declared:
					is.Equal(large, size)
				default:
					is.True(size-firstPart <= large && large <= size)
				}
				is.Equal(node.counted(proxy.UplinkCutMetric), int64(0))
				is.Equal(node.counted(proxy.UplinkRefusalsMetric), int64(0))
			}
			is.Equal(entry.counted(proxy.UplinkRelayedMetric), entry.counted(proxy.UplinkLargeMetric))
			is.Equal(entry.counted(proxy.UplinkOwnMetric), int64(0))
			is.Equal(target.counted(proxy.UplinkOwnMetric), target.counted(proxy.UplinkLargeMetric))
			is.Equal(target.counted(proxy.UplinkRelayedMetric), int64(0))
		})
	}
}

// TestRefusalsAreCountedAsTheyAreSent checks that all that a node sends while it only
// refuses is counted as refusals, to the byte.
func TestRefusalsAreCountedAsTheyAreSent(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, func(c *core.Config, _ *proxy.Config) { c.ProbeEvery = time.Hour }, "", "orders") // no probe tells the entry node first
	m.nodes[1].backend.Close()
	resp, _, err := m.do(0, http.MethodGet, "/", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	refusals := m.nodes[1].counted(proxy.UplinkRefusalsMetric)
	is.True(refusals > 0)
	m.eventually("the refusals are sent", func() bool { return m.nodes[1].counted(proxy.UplinkSentMetric) >= refusals })
	is.Equal(m.nodes[1].counted(proxy.UplinkSentMetric), m.nodes[1].counted(proxy.UplinkRefusalsMetric))
	is.Equal(m.nodes[0].counted(proxy.UplinkRefusalsMetric), int64(0))
}

// TestLargeResponseWhoseCallerLeftIsCountedAsCut has a caller leave in the middle of a
// large response.
func TestLargeResponseWhoseCallerLeftIsCountedAsCut(t *testing.T) {
	const link = 1 << 20 // bytes per second
	is := is.New(t)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.LinkBytes = link }, "", "orders")
	m.putCallersElsewhere()
	url := "http://" + m.nodes[0].callers + "/?answerBytes=" + strconv.Itoa(4*link)
	resp, err := m.client.Get(url)
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, resp.Body, link/4)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	for _, node := range m.nodes {
		m.eventually("the response is given up", func() bool { return node.counted(proxy.UplinkCutMetric) > 0 })
		is.Equal(node.counted(proxy.UplinkCutMetric), node.counted(proxy.UplinkLargeMetric))
	}
}

// TestResponseSizeIsMeasuredNotDeclared checks that the reducer gets the size of a
// response whether or not the backend server declares it.
func TestResponseSizeIsMeasuredNotDeclared(t *testing.T) {
	for _, tt := range []struct{ name, method, path string }{
		{"declared", http.MethodGet, "/?answerBytes=280000"},
		{"not declared", http.MethodGet, "/?answerBytes=280000&chunked=true"},
		{"HEAD, which has no body", http.MethodHead, "/?answerBytes=280000"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, nil, "", "orders")
			_, body, err := m.do(0, tt.method, tt.path, "")
			is.NoErr(err)
			is.Equal(len(body) >= 280_000, tt.method == http.MethodGet)
			m.eventually("the run has ended", func() bool { return m.nodes[1].arrivals.lastDone() != nil })
			is.Equal(m.nodes[1].arrivals.lastDone().Bytes, int64(len(body)))
		})
	}
}

// TestLargeResponseThatWaitsIsNotTakenForLost sends several large responses at once
// over a slow link. The last one waits for longer than the entry node waits for a
// sign of an answer, and must arrive all the same.
func TestLargeResponseThatWaitsIsNotTakenForLost(t *testing.T) {
	const responses, bytes, link = 4, 1 << 20, 4 << 20 // a quarter of a second each; the entry node asks after 100 ms
	is := is.New(t)
	m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.LinkBytes = link }, "", "orders")
	m.putCallersElsewhere()
	failures := make(chan error, responses)
	for range responses {
		go func() {
			resp, body, err := m.do(0, http.MethodPost, "/once?answerBytes="+strconv.Itoa(bytes), "x")
			switch {
			case err == nil && resp.StatusCode != http.StatusOK:
				err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
			case err == nil && len(body) < bytes:
				err = fmt.Errorf("body has %d bytes", len(body))
			}
			failures <- err
		}()
	}
	for range responses {
		is.NoErr(<-failures)
	}
}

// TestLargeResponseThatIsAskedForIsNotCounted asks for a large response while another one
// is run elsewhere for the same entry node, whose link has to carry both.
func TestLargeResponseThatIsAskedForIsNotCounted(t *testing.T) {
	const bytes, link = 200_000, 100 << 20
	for _, tt := range []struct {
		name string
		end  sample.Fault // of the run that is under way
	}{{"it comes", sample.Fault{}}, {"it is cut", sample.Fault{Drop: true}}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newMesh(t, func(_ *core.Config, p *proxy.Config) { p.LinkBytes = link }, "", "orders")
			m.putCallersElsewhere()
			backlog := func() int64 {
				_, body, err := m.do(0, http.MethodGet, "/?answerBytes="+strconv.Itoa(bytes), "")
				is.NoErr(err)
				is.True(len(body) > bytes)
				return m.nodes[1].arrivals.relay.Load().Backlog
			}
			is.Equal(backlog(), int64(0)) // the first response tells the size
			running, released, ended := make(chan struct{}, 10), make(chan struct{}), make(chan struct{})
			m.nodes[1].backend.SetFault(func(r *http.Request) sample.Fault {
				if !strings.HasPrefix(r.URL.Path, "/held") {
					return sample.Fault{}
				}
				running <- struct{}{}
				<-released
				return tt.end
			})
			go func() {
				_, _, _ = m.do(0, http.MethodGet, "/held?answerBytes="+strconv.Itoa(bytes), "")
				close(ended)
			}()
			<-running
			counted := backlog()
			is.True(bytes < counted && counted < bytes+1000)
			close(released)
			<-ended
			is.Equal(backlog(), int64(0))
		})
	}
}
