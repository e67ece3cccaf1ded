// Package load sends requests at a fixed rate, whatever the answers do (an
// open loop), and measures latency from the moment at which each request was
// due. A server that stalls is so charged with the requests that came due in
// the meantime, which a closed loop would leave out ("coordinated omission").
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
	MaxRate     = 100_000 // requests a second
	MaxDuration = 10 * time.Minute
)

// Request is one kind of request that is sent.
type Request struct {
	Class  string // under which it is counted
	Method string
	Path   string
	Body   []byte
	Header http.Header
}

// Config says what is sent, where to and how fast.
type Config struct {
	Targets  []string // base URLs, taken in turn
	Requests []Request
	Rate     float64       // requests a second, over all targets
	Duration time.Duration // measured, after the warm-up
	WarmUp   time.Duration
	Timeout  time.Duration // of one request
	InFlight int           // at most; those due beyond wait, and their wait counts
}

// Check returns what is wrong with a Config.
func (c Config) Check() error {
	switch {
	case len(c.Targets) == 0:
		return fmt.Errorf("load: no target is given")
	case len(c.Requests) == 0:
		return fmt.Errorf("load: no request is given")
	case c.Rate <= 0 || c.Rate > MaxRate:
		return fmt.Errorf("load: rate %v is not above 0 and at most %d a second", c.Rate, MaxRate)
	case c.Duration <= 0 || c.WarmUp < 0 || c.Duration+c.WarmUp > MaxDuration:
		return fmt.Errorf("load: %v of warm-up and %v of load are not above 0 and at most %v in all", c.WarmUp, c.Duration, MaxDuration)
	case c.Timeout <= 0 || c.InFlight <= 0:
		return fmt.Errorf("load: timeout %v and %d in flight are not above 0", c.Timeout, c.InFlight)
	}
	return nil
}

// job is one request that is due.
type job struct {
	due      time.Time
	target   string
	request  *Request
	measured bool
}

// runner sends the requests of one run.
type runner struct {
	cfg      Config
	client   *http.Client
	jobs     chan job
	workers  sync.WaitGroup
	started  int
	recorder *recorder
}

// Run sends the load of cfg until it is through or ctx ends, and waits for
// the answers.
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

// schedule hands out each request when it is due.
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

// dispatch gives a job to a free worker, or to a new one within the limit.
func (r *runner) dispatch(j job) {
	select {
	case r.jobs <- j:
		return
	default:
	}
	if r.started < r.cfg.InFlight {
		r.started++
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

// send sends one request and returns how it ended.
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

// sleepUntil waits and reports false when ctx ends first.
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
