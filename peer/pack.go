package peer

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/agatekeel/agatekeel/core/message"
	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

// compressAboveBytes is the size above which a frame is worth compressing.
const compressAboveBytes = 1 << 10

// The encoder and the decoder keep no state between frames and can be used
// concurrently.
var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxFrameBytes)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic("peer: zstd: " + err.Error())
	}
	return v
}

// Compress returns the frame in compressed form if it is larger than
// compressAboveBytes, otherwise unchanged.
func Compress(f *pb.Frame) (*pb.Frame, error) {
	if proto.Size(f) <= compressAboveBytes {
		return f, nil
	}
	data, err := proto.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return &pb.Frame{Body: &pb.Frame_Packed{Packed: encoder.EncodeAll(data, nil)}}, nil
}

// decompress returns the message in a compressed frame.
func decompress(packed []byte) (message.Message, error) {
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFrame, err)
	}
	f := &pb.Frame{}
	if err := proto.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFrame, err)
	}
	if _, nested := f.GetBody().(*pb.Frame_Packed); nested {
		return nil, fmt.Errorf("%w: compressed twice", ErrFrame)
	}
	return Decode(f)
}
