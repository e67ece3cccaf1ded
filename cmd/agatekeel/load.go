package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/agatekeel/agatekeel/load"
)

// loadCommand sends requests at a fixed rate.
type loadCommand struct {
	console
	outputOption
	Targets  []string      `long:"target" default:"http://127.0.0.1:8080" description:"base URL; if repeated, requests rotate over the URLs and are reported per URL"`
	Requests []string      `long:"request" default:"GET /recipe-book/recipes/1" description:"[CLASS=]METHOD PATH [BODY]; may be given more than once"`
	Rate     float64       `long:"rate" default:"100" description:"requests per second over all targets"`
	Duration time.Duration `long:"duration" default:"10s" description:"duration of the measurement, at most 10m including the warm-up"`
	WarmUp   time.Duration `long:"warm-up" default:"2s" description:"duration of the warm-up, whose requests are not reported"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"timeout of one request"`
	InFlight int           `long:"in-flight" default:"256" description:"maximum of concurrent requests; further due requests wait, which counts as latency"`
	MaxError float64       `long:"max-error-share" default:"0" description:"exit with code 1 if a larger share of the requests fails"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	cfg := load.Config{
		Targets: c.Targets, Rate: c.Rate, Duration: c.Duration, WarmUp: c.WarmUp, Timeout: c.Timeout, InFlight: c.InFlight,
	}
	for _, s := range c.Requests {
		r, err := load.ParseRequest(s)
		if err != nil {
			return usageError("%v", err)
		}
		cfg.Requests = append(cfg.Requests, r)
	}
	if err := cfg.Check(); err != nil {
		return usageError("%v", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if c.wantsJSON() {
		err = c.json(report)
	} else {
		err = report.WriteText(c.out)
	}
	if err != nil {
		return err
	}
	if report.Requests == 0 || report.ErrorShare > c.MaxError {
		return fmt.Errorf("load: error share is %.4f of %d requests, at most %.4f is allowed",
			report.ErrorShare, report.Requests, c.MaxError)
	}
	return nil
}
