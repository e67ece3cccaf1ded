package node

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
)

// admin returns the handler of the admin listener: health, readiness, metrics,
// the state dump, and draining of the backend server.
func admin(n *Node, r metrics.Registry) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c *gin.Context) {
		if ok, why := n.Ready(); !ok {
			c.String(http.StatusServiceUnavailable, "%s\n", why)
			return
		}
		c.String(http.StatusOK, "ok\n")
	})
	e.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", "application/json")
		updateGauges(r, n.ProcessState())
		metrics.WriteJSONOnce(r, c.Writer)
	})
	e.GET("/metrics.txt", func(c *gin.Context) {
		updateGauges(r, n.ProcessState())
		n.updateDroppedGauges(r)
		c.Header("Content-Type", "text/plain; charset=utf-8")
		_ = writeText(c.Writer, r) // fails only if the client has disconnected
	})
	e.GET("/debug/state", func(c *gin.Context) { c.IndentedJSON(http.StatusOK, n.ProcessState()) })
	e.POST("/drain", func(c *gin.Context) { answerDrain(c, "draining", n.Drain) })
	e.DELETE("/drain", func(c *gin.Context) { answerDrain(c, "back in service once it is healthy", n.CancelDrain) })
	return e
}

// answerDrain applies what an operator says of the backend server, and tells whether the next
// process of the node would know it.
func answerDrain(c *gin.Context, done string, apply func(context.Context) (core.AnswerReport, error)) {
	answer, err := apply(c.Request.Context())
	switch {
	case err != nil:
		c.String(http.StatusServiceUnavailable, "%s: ask again\n", err)
	case answer.Verdict == core.ReportRefused:
		c.String(http.StatusConflict, "%s\n", answer.Reason)
	case answer.Verdict == core.ReportNotKept:
		c.String(http.StatusServiceUnavailable, "%s, until this process ends: %s\n", done, answer.Reason)
	default:
		c.String(http.StatusAccepted, "%s\n", done)
	}
}
