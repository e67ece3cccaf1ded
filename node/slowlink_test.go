package node

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/peer"
	"github.com/agatekeel/agatekeel/settings"
)

// manyRoutes returns routes with random names and paths, each with a policy.
func manyRoutes(n int) (objects []config.Object) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range n {
		name := fmt.Sprintf("route-%08x", rng.Uint32())
		objects = append(objects,
			config.Object{Kind: config.KindPolicy, Name: name, Version: 10, Spec: json.RawMessage(
				`{"rank":1,"timeoutMillis":1200,"targetMillis":500,"idempotent":true,"maxAttempts":2,"idempotencyKey":"none"}`)},
			config.Object{Kind: config.KindRoute, Name: name, Version: 10, Spec: json.RawMessage(fmt.Sprintf(
				`{"host":"%04x.example","pathPrefix":"/%08x/","service":"orders","policy":%q}`, rng.IntN(50), rng.Uint32(), name))})
	}
	return objects
}

// TestLargeChangeIsLateOverSlowLinks checks that a change of 1,900 routes crosses two levels
// of the tree in half of the 2.5 s after which it has to be in force, where each node has
// a link of 7 Mbit/s and as many children as it may have.
func TestLargeChangeIsLateOverSlowLinks(t *testing.T) {
	const linkMbps, routes, levels, inForceWithin = 7, 1900, 2, 2500 * time.Millisecond
	fanout := core.Config{}.WithDefaults().Fanout
	for _, linkMbps := range []float64{linkMbps, 100, 1000} {
		t.Run(fmt.Sprintf("%v Mbit/s", linkMbps), func(t *testing.T) {
			is := is.New(t)
			frame, err := peer.Encode(message.ConfigWhole{Version: 10, Objects: manyRoutes(routes)})
			is.NoErr(err)
			size := proto.Size(frame)
			if compressesLinks(settings.Settings{LinkMbps: linkMbps}) {
				frame, err = peer.Compress(frame)
				is.NoErr(err)
			}
			took := time.Duration(float64(levels*fanout*proto.Size(frame)*8) / linkMbps * float64(time.Microsecond))
			t.Logf("%d bytes, %d as sent, %v", size, proto.Size(frame), took)
			is.True(took < inForceWithin/2)
		})
	}
}

func TestCompressionOfLinks(t *testing.T) {
	is := is.New(t)
	is.True(!compressesLinks(settings.Settings{})) // the rate is not known
	is.True(compressesLinks(settings.Settings{Distribution: settings.Distribution{Favour: string(core.FavourBytes)}}))
	is.True(compressesLinks(settings.Settings{LinkMbps: 100}))
	is.True(!compressesLinks(settings.Settings{LinkMbps: 1000})) // time of the processor would be lost
}
