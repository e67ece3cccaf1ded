package main

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startDev runs dev with the recipe objects on free ports until the test ends.
func startDev(t *testing.T) *mesh {
	t.Helper()
	return startDevAt(t, "../../examples/recipes")
}

// startDevAt runs dev with the objects at a path on free ports until the test ends.
func startDevAt(t *testing.T, objects string) *mesh {
	t.Helper()
	ready, done := make(chan *mesh, 1), make(chan error, 1)
	stop := make(chan struct{})
	dev := newDev(io.Discard)
	dev.Objects = objects
	dev.onReady = func(m *mesh) {
		ready <- m
		<-stop
	}
	go func() { done <- dev.Execute(nil) }()
	t.Cleanup(func() {
		close(stop)
		if err := <-done; err != nil {
			t.Errorf("dev: %v", err)
		}
	})
	select {
	case m := <-ready:
		return m
	case err := <-done:
		done <- nil
		t.Fatalf("dev ended before it was ready: %v", err)
		return nil
	}
}

func newDev(out io.Writer) *devCommand {
	return &devCommand{
		console: console{out: out, err: out},
		Listen:  "127.0.0.1:0", Admin: "127.0.0.1:0", Platform: "127.0.0.1:0",
		Objects: "../../examples/recipes", RunFor: time.Millisecond, Log: "error",
	}
}

func TestDevServesAndStops(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(newDev(&out).Execute(nil)) // returns only after the objects are in force on every node
	is.True(bytes.Contains(out.Bytes(), []byte("ready http://127.0.0.1:")))
}
