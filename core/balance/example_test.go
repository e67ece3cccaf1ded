package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/agatekeel/agatekeel/core/balance"
	"github.com/agatekeel/agatekeel/core/endpoint"
)

// A caller with its own list of endpoints selects one for each request and reports
// the result.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	b := balance.New(balance.DefaultConfig("north"), rand.New(rand.NewPCG(1, 2)))
	rows := []*endpoint.Row{
		{Entry: endpoint.Entry{ID: "orders-1", DataCentre: "north", Slots: 6, State: endpoint.Ready}},
		{Entry: endpoint.Entry{ID: "orders-2", DataCentre: "north", Slots: 6, State: endpoint.Ready}},
		{Entry: endpoint.Entry{ID: "orders-3", DataCentre: "south", Slots: 6, State: endpoint.Ready}},
	}
	group := b.Group(nil, rows) // call it again with the old group whenever rows change

	first, _ := b.Pick(now, group, nil)
	b.Sent(now, first)
	b.Done(now, first, balance.Result{Failed: true, Unreachable: true, Queue: -1})

	second, _ := b.Pick(now, group, []string{first.Row.ID})
	b.Sent(now, second)
	b.Done(now, second, balance.Result{Queue: 0, Took: 20 * time.Millisecond})
	fmt.Println(first.Row.DataCentre, second.Row.DataCentre, first != second)
	// Output: north north true
}
