// Package load sends requests at a fixed rate, regardless of the responses (an
// open loop), and measures latency from the time at which each request was due.
// If a server stalls, the requests that become due in the meantime count as
// delayed; a closed loop would not send them ("coordinated omission").
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Limits of a Config.
const (
	MaxRate     = 100_000          // requests per second
	MaxDuration = 10 * time.Minute // of warm-up and measurement together
)

// Request is one kind of request to send.
type Request struct {
	Class  string // class under which it is reported
	Method string
	Path   string
	Body   []byte
	Header http.Header
}

// Config describes the load.
type Config struct {
	Targets  []string // base URLs, used in rotation
	Requests []Request
	Rate     float64       // requests per second over all targets
	Duration time.Duration // duration of the measurement, after the warm-up
	WarmUp   time.Duration // time before the measurement; its requests are sent but not reported
	Timeout  time.Duration // timeout of one request
	InFlight int           // maximum number of concurrent requests; further due requests wait, which counts as latency
}

// Check returns an error if a Config is invalid.
func (c Config) Check() error {
	switch {
	case len(c.Targets) == 0:
		return fmt.Errorf("load: no target given")
	case len(c.Requests) == 0:
		return fmt.Errorf("load: no request given")
	case c.Rate <= 0 || c.Rate > MaxRate:
		return fmt.Errorf("load: rate %v must be above 0 and at most %d per second", c.Rate, MaxRate)
	case c.Duration <= 0 || c.WarmUp < 0 || c.Duration+c.WarmUp > MaxDuration:
		return fmt.Errorf("load: warm-up %v must be at least 0, duration %v above 0, their sum at most %v", c.WarmUp, c.Duration, MaxDuration)
	case c.Timeout <= 0 || c.InFlight <= 0:
		return fmt.Errorf("load: timeout %v and in-flight limit %d must be above 0", c.Timeout, c.InFlight)
	}
	return nil
}

// job is one request to send when it is due.
type job struct {
	due      time.Time
	target   string
	request  *Request
	measured bool
}

// runner sends the requests of one run.
type runner struct {
	cfg            Config
	client         *http.Client
	jobs           chan job
	workers        sync.WaitGroup
	workersStarted int
	recorder       *recorder
}

// Run sends the load of cfg until its duration has passed or ctx is cancelled,
// and waits for the responses.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: cfg.InFlight, DisableCompression: true, IdleConnTimeout: time.Minute,
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		cfg: cfg, client: &http.Client{Transport: transport, Timeout: cfg.Timeout},
		jobs: make(chan job), recorder: newRecorder(),
	}
	start := time.Now()
	r.schedule(ctx, start)
	close(r.jobs)
	r.workers.Wait()
	return r.recorder.report(cfg, time.Since(start)), nil
}

// schedule dispatches each request when it is due.
func (r *runner) schedule(ctx context.Context, start time.Time) {
	interval := float64(time.Second) / r.cfg.Rate
	end := start.Add(r.cfg.WarmUp + r.cfg.Duration)
	for i := 0; ; i++ {
		due := start.Add(time.Duration(float64(i) * interval))
		if !due.Before(end) || !sleepUntil(ctx, due) {
			return
		}
		r.dispatch(job{
			due: due, target: r.cfg.Targets[i%len(r.cfg.Targets)],
			request:  &r.cfg.Requests[i/len(r.cfg.Targets)%len(r.cfg.Requests)],
			measured: due.Sub(start) >= r.cfg.WarmUp,
		})
	}
}

// dispatch passes a job to a free worker, or starts a new one if the limit
// allows. Otherwise it blocks until a worker is free.
func (r *runner) dispatch(j job) {
	select {
	case r.jobs <- j:
		return
	default:
	}
	if r.workersStarted < r.cfg.InFlight {
		r.workersStarted++
		r.workers.Go(r.runWorker)
	}
	r.jobs <- j
}

func (r *runner) runWorker() {
	for j := range r.jobs {
		sent := time.Now()
		result := r.send(j)
		if j.measured {
			r.recorder.record(j, result, time.Since(sent))
		}
	}
}

// send sends one request and returns its result.
func (r *runner) send(j job) result {
	req, err := http.NewRequest(j.request.Method, j.target+j.request.Path, bytes.NewReader(j.request.Body))
	if err != nil {
		return resultFailed
	}
	for k, vs := range j.request.Header {
		req.Header[k] = vs
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return resultFailed
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resultFailed
	}
	return resultOf(resp)
}

// sleepUntil waits until t and returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	if d < time.Millisecond {
		time.Sleep(d)
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
