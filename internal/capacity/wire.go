package main

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/internal/capacity/sizes"
	"github.com/agatekeel/agatekeel/peer"
)

// frameOverhead is the number of bytes on the wire beside the message itself: the
// gRPC prefix (5), the HTTP/2 frame header (9), and the IP and TCP headers with
// timestamps (52).
const frameOverhead = 5 + 9 + 52

// wireBytes returns the size on the wire of a message that is sent in its own packet.
func wireBytes(m message.Message) float64 {
	f, err := peer.Encode(m)
	if err != nil {
		panic(err)
	}
	return float64(proto.Size(f) + frameOverhead)
}

// wireSlopes measures the size on the wire of each kind of message.
func wireSlopes() []Slope {
	return []Slope{
		measure("endpoint entries", "B", []int{1, 100, 1000}, func(n int) float64 {
			return wireBytes(message.Endpoints{Entries: sizes.Entries(n)})
		}),
		measure("delta, by objects changed", "B", []int{1, 4, 16}, func(n int) float64 {
			return wireBytes(message.ConfigDelta{Delta: config.Delta{From: 1, To: 2, Hash: 1 << 60, Puts: sizes.Objects(100)[150 : 150+n]}})
		}),
		measure("whole set, by routes", "B", []int{100, 1000, 5000}, func(n int) float64 {
			return wireBytes(message.ConfigWhole{Version: 9, Hash: 1 << 60, Objects: sizes.Objects(n)})
		}),
		measure("whole heartbeat, by depth of the tree", "B", []int{1, 2, 4}, func(n int) float64 {
			path := make([]string, n)
			for i := range path {
				path[i] = fmt.Sprintf("host-%05d", i)
			}
			return wireBytes(message.Heartbeat{Path: path, Rooted: true, Config: 9000, Newest: 9000, Table: 1 << 60})
		}),
		measure("heartbeat that tells nothing new", "B", []int{1, 2, 4}, func(int) float64 {
			return wireBytes(message.Heartbeat{Same: true})
		}),
		measure("report, by laggards", "B", []int{0, 4, 16}, func(n int) float64 {
			r := message.Report{DataCentre: "centre-00", Applied: 9000, Nodes: 480}
			for i := range n {
				r.Laggards = append(r.Laggards, message.Laggard{Node: fmt.Sprintf("host-%05d", i), Applied: 8999})
			}
			return wireBytes(r)
		}),
	}
}
