package load

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agatekeel/agatekeel/proxy"
)

// result is the outcome of a request.
type result uint8

const (
	resultOK      result = iota
	resultNotRun         // refused, certainly not run
	resultUnknown        // failed, may have run
	resultStatus         // response with a status of 400 or more
	resultFailed         // no complete response
)

func resultOf(resp *http.Response) result {
	switch resp.Header.Get(proxy.HeaderOutcome) {
	case "not-run":
		return resultNotRun
	case "unknown":
		return resultUnknown
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return resultStatus
	}
	return resultOK
}

// Range and precision of the histograms.
const (
	maxRecordedLatency = 10 * time.Minute
	significantDigits  = 3
)

// key identifies the series that a request is counted in.
type key struct{ target, class string }

// series holds the measurements for one key.
type series struct {
	latency *hdrhistogram.Histogram // from the time a request was due, in microseconds
	service *hdrhistogram.Histogram // from the time it was sent, in microseconds
	results [resultFailed + 1]int64
}

type recorder struct {
	mu     sync.Mutex
	series map[key]*series
}

func newRecorder() *recorder { return &recorder{series: map[key]*series{}} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedLatency.Microseconds(), significantDigits)
}

func (r *recorder) record(j job, res result, service time.Duration) {
	latency := time.Since(j.due)
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{j.target, j.request.Class}
	s, ok := r.series[k]
	if !ok {
		s = &series{latency: newHistogram(), service: newHistogram()}
		r.series[k] = s
	}
	s.results[res]++
	_ = s.latency.RecordValue(min(latency, maxRecordedLatency).Microseconds())
	_ = s.service.RecordValue(min(service, maxRecordedLatency).Microseconds())
}

// Report is the result of a run.
type Report struct {
	Rate       float64       `json:"rate"`       // configured rate, requests per second
	Seconds    float64       `json:"seconds"`    // duration of the run, with the warm-up and the wait for the last responses
	Requests   int64         `json:"requests"`   // number of requests measured
	ErrorShare float64       `json:"errorShare"` // share of the measured requests that are not OK
	Classes    []ClassReport `json:"classes"`
}

// ClassReport is the result for the requests of one class sent to one target.
type ClassReport struct {
	Target      string  `json:"target"`
	Class       string  `json:"class"`
	OK          int64   `json:"ok"`
	NotRun      int64   `json:"notRun"`
	Unknown     int64   `json:"unknown"`
	Status      int64   `json:"status"` // response with a status of 400 or more
	Failed      int64   `json:"failed"` // no complete response
	Latency     Latency `json:"latencyMicros"`
	Service     Latency `json:"serviceMicros"`
	OKPerSecond float64 `json:"okPerSecond"` // over the duration of the measurement
}

// Latency holds percentiles in microseconds. ClassReport.Latency is measured
// from the time a request was due, ClassReport.Service from the time it was
// sent.
type Latency struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

func (r *recorder) report(cfg Config, elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Rate: cfg.Rate, Seconds: elapsed.Seconds()}
	var notOK int64
	for k, s := range r.series {
		c := ClassReport{
			Target: k.target, Class: k.class, OK: s.results[resultOK], NotRun: s.results[resultNotRun],
			Unknown: s.results[resultUnknown], Status: s.results[resultStatus], Failed: s.results[resultFailed],
			Latency: latencyOf(s.latency), Service: latencyOf(s.service),
			OKPerSecond: float64(s.results[resultOK]) / cfg.Duration.Seconds(),
		}
		out.Classes = append(out.Classes, c)
		out.Requests += s.latency.TotalCount()
		notOK += s.latency.TotalCount() - c.OK
	}
	if out.Requests > 0 {
		out.ErrorShare = float64(notOK) / float64(out.Requests)
	}
	sort.Slice(out.Classes, func(i, j int) bool {
		a, b := out.Classes[i], out.Classes[j]
		return a.Class < b.Class || a.Class == b.Class && a.Target < b.Target
	})
	return out
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "class\ttarget\tok\tnot run\tunknown\tstatus\tfailed\tp50 µs\tp90 µs\tp99 µs\tp99.9 µs\tmax µs\t")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", c.Class, c.Target, c.OK, c.NotRun,
			c.Unknown, c.Status, c.Failed, c.Latency.P50, c.Latency.P90, c.Latency.P99, c.Latency.P999, c.Latency.Max)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	_, err := fmt.Fprintf(w, "%d requests at %g per second, error share %.4f\n", r.Requests, r.Rate, r.ErrorShare)
	return err
}
