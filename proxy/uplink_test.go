package proxy_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/proxy"
)

// sentBytes returns how many bytes a node has sent over its network link, and the
// part of them that is large responses.
func (mn *meshNode) sentBytes() (sent, large int64) {
	return metrics.GetOrRegisterCounter(proxy.UplinkSentMetric, mn.metrics).Count(),
		metrics.GetOrRegisterCounter(proxy.UplinkLargeMetric, mn.metrics).Count()
}

// TestSentBytesAreCounted checks that both nodes on the way of a response count
// its bytes, and count those of large responses separately.
func TestSentBytesAreCounted(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, nil, "", "orders")
	for _, tt := range []struct {
		path  string
		bytes int64
		large bool
	}{{"/?answerBytes=100000", 100_000, true}, {"/?answerBytes=1000", 1000, false}} {
		for _, node := range m.nodes {
			sentBefore, largeBefore := node.sentBytes()
			resp, body, err := m.do(0, http.MethodGet, tt.path, "")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(int64(len(body)) >= tt.bytes)
			m.eventually("the response is counted", func() bool {
				sent, _ := node.sentBytes()
				return sent-sentBefore >= int64(len(body))
			})
			sent, large := node.sentBytes()
			const headers = 2000 // bytes, at most: of the response and, at the entry node, of the request to the other node
			is.True(sent-sentBefore < int64(len(body))+headers)
			if tt.large {
				is.Equal(large-largeBefore, int64(len(body)))
			} else {
				is.Equal(large, largeBefore)
			}
		}
	}
}
