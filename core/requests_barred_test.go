package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/coretest"
)

// TestBarredServerGetsCallAgain guards against a call that may run once going again to a server
// that refused it, for want of others: a copy of that refusal would pass for the next answer.
func TestBarredServerGetsCallAgain(t *testing.T) {
	is := is.New(t)
	m := coretest.New(5)
	for _, name := range []string{"a1", "a2", "a3"} {
		m.Start(name, core.Config{DataCentre: "a", Service: "orders", Slots: 20})
	}
	m.Run(20 * time.Second)
	all := []string{"a1", "a2", "a3"}
	for range 100 {
		is.Equal(m.Node("a1").State.ChooseForTest("orders", all, []string{"a1", "a3"}), "a2")
		is.Equal(m.Node("a1").State.ChooseForTest("orders", all, all), "")
	}
}
