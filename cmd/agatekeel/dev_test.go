package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDevServesAndStops(t *testing.T) {
	is := is.New(t)
	dev := &devCommand{
		Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Platform: "127.0.0.1:0",
		Objects: "../../examples/recipes", RunFor: time.Millisecond, Log: "warn",
	}
	is.NoErr(dev.Execute(nil)) // returns only after the set is in force on every node
}
