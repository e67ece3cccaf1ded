package peer_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/peer"
	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

// oddFrames are frames that can be decoded and that no node sends.
func oddFrames() []*pb.Frame {
	const most = ^uint64(0)
	entry := &pb.Entry{Id: "x", Service: "s", DataCentre: "dc", Peer: "x:99999", Hop: "x:-1", Sequence: most, State: 99, Slots: 1<<32 - 1}
	hello := &pb.Frame{Body: &pb.Frame_Hello{Hello: &pb.Hello{Node: "x", DataCentre: "dc", Config: most, Self: entry}}}
	return []*pb.Frame{
		{},
		hello,
		{Body: &pb.Frame_Hello{Hello: &pb.Hello{Node: "x", DataCentre: "dc", Kind: 1<<32 - 1}}},
		{Body: &pb.Frame_Hello{Hello: &pb.Hello{}}},
		{Body: &pb.Frame_Welcome{Welcome: &pb.Welcome{Node: "x", DataCentre: "dc"}}},
		{Body: &pb.Frame_Welcome{Welcome: &pb.Welcome{Heartbeat: &pb.Heartbeat{Config: most, Newest: most, Census: most}}}},
		{Body: &pb.Frame_Heartbeat{Heartbeat: &pb.Heartbeat{}}},
		{Body: &pb.Frame_Heartbeat{Heartbeat: &pb.Heartbeat{Path: []string{"n", "n"}, Config: most, SourceAgeMillis: proto.Uint32(1<<32 - 1), Restored: most}}},
		{Body: &pb.Frame_Redirect{Redirect: &pb.Redirect{Peer: "::::"}}},
		{Body: &pb.Frame_ComeBack{ComeBack: &pb.ComeBack{AfterMillis: most, Config: most}}},
		{Body: &pb.Frame_ConfigDelta{ConfigDelta: &pb.ConfigDelta{From: most, To: 1, Puts: []*pb.Object{{Kind: "Route", Spec: []byte(`{`)}}, Deletes: []*pb.Key{{}}}}},
		{Body: &pb.Frame_ConfigWhole{ConfigWhole: &pb.ConfigWhole{Version: most, Objects: []*pb.Object{{}, {Kind: "Route", Name: "r", Spec: []byte(`[[[`)}}}}},
		{Body: &pb.Frame_ConfigWanted{ConfigWanted: &pb.ConfigWanted{Have: most}}},
		{Body: &pb.Frame_Endpoints{Endpoints: &pb.Endpoints{Entries: []*pb.Entry{entry, {}, {Id: "n", Sequence: most, StartMillis: -1 << 63}}}}},
		{Body: &pb.Frame_TableDigests{TableDigests: &pb.TableDigests{}}},
		{Body: &pb.Frame_TableDigests{TableDigests: &pb.TableDigests{Digests: make([]uint64, 7)}}},
		{Body: &pb.Frame_TableBuckets{TableBuckets: &pb.TableBuckets{}}},
		{Body: &pb.Frame_TableBuckets{TableBuckets: &pb.TableBuckets{Of: 1<<32 - 1, Numbers: []uint32{1<<32 - 1, 0}, Entries: []*pb.Entry{entry}}}},
		{Body: &pb.Frame_Report{Report: &pb.Report{Applied: most, Nodes: 1<<32 - 1, Missing: 1<<32 - 1, Laggards: []*pb.Laggard{{}}}}},
		{Body: &pb.Frame_Present{Present: &pb.Present{Nodes: []string{""}}}},
		{Body: &pb.Frame_Leaving{Leaving: &pb.Leaving{}}},
		{Body: &pb.Frame_Packed{Packed: []byte("no zstd")}},
	}
}

// receive decodes frames and lets a node receive them over an accepted and over a dialled link.
func receive(frames ...*pb.Frame) {
	now := time.Unix(1_800_000_000, 0)
	s := core.New(core.Config{Node: "n", DataCentre: "dc", Peer: "n", Hop: "n", Service: "s", Incarnation: endpoint.Incarnation{Start: 1}, Seed: 1})
	s.Reduce(now, core.Tick{})
	for link := core.LinkID(1); link <= 2; link++ {
		s.Reduce(now, core.LinkUp{Link: link, Dialled: link%2 == 0})
		for _, f := range frames {
			m, err := peer.Decode(f)
			if err == nil {
				s.Reduce(now, core.LinkMessage{Link: link, Message: m})
			}
		}
		for range 40 {
			now = now.Add(50 * time.Millisecond)
			s.Reduce(now, core.Tick{})
		}
	}
}

// TestOddFrameEndsProcess lets a node receive each odd frame alone and behind a Hello, and all
// of them in turn.
func TestOddFrameEndsProcess(t *testing.T) {
	all := oddFrames()
	for _, f := range all {
		receive(f)
		receive(all[1], f)
	}
	receive(all...)
}

// FuzzFrame lets a node receive any bytes as a frame, alone and behind a Hello.
func FuzzFrame(f *testing.F) {
	hello := oddFrames()[1]
	for _, frame := range oddFrames() {
		data, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame := &pb.Frame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		receive(frame)
		receive(hello, frame)
	})
}
