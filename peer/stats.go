package peer

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

// counter counts the messages and bytes of one type in one direction. The bytes
// are those on the wire: the frame, compressed if it is, and the gRPC header of
// five bytes.
type counter struct{ messages, bytes metrics.Counter }

// traffic is a stats.Handler that counts messages by type and direction.
type traffic struct {
	in, out map[protoreflect.FullName]counter
}

var frameBody = (&pb.Frame{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// newTraffic returns a traffic that registers its counters in r as
// peer.DIRECTION.TYPE.messages and peer.DIRECTION.TYPE.bytes.
func newTraffic(r metrics.Registry) *traffic {
	t := &traffic{in: map[protoreflect.FullName]counter{}, out: map[protoreflect.FullName]counter{}}
	fields := frameBody.Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		t.in[f.FullName()] = newCounter(r, "peer.in."+string(f.Name()))
		t.out[f.FullName()] = newCounter(r, "peer.out."+string(f.Name()))
	}
	return t
}

func newCounter(r metrics.Registry, name string) counter {
	return counter{
		messages: metrics.GetOrRegisterCounter(name+".messages", r),
		bytes:    metrics.GetOrRegisterCounter(name+".bytes", r),
	}
}

// HandleRPC implements stats.Handler.
func (t *traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		count(t.in, s.Payload, s.WireLength)
	case *stats.OutPayload:
		count(t.out, s.Payload, s.WireLength)
	}
}

func count(counters map[protoreflect.FullName]counter, payload any, bytes int) {
	frame, ok := payload.(*pb.Frame)
	if !ok {
		return
	}
	field := frame.ProtoReflect().WhichOneof(frameBody)
	if field == nil {
		return // a type unknown to this version, sent by a newer node
	}
	c := counters[field.FullName()]
	c.messages.Inc(1)
	c.bytes.Inc(int64(bytes))
}

// TagRPC implements stats.Handler.
func (*traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (*traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (*traffic) HandleConn(context.Context, stats.ConnStats) {}
