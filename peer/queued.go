package peer

import (
	"maps"
	"sync"
	"weak"

	"github.com/agatekeel/agatekeel/core/message"
	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

// queued is a message in the queues of one or more links. The first sender that needs
// its frame encodes it.
type queued struct {
	compress bool
	once     sync.Once
	message  message.Message // nil once encoded
	encoded  *pb.Frame
	err      error
}

// frame returns the frame to send, or why there is none.
func (q *queued) frame() (*pb.Frame, error) {
	q.once.Do(func() {
		q.encoded, q.err = encode(q.message, q.compress)
		q.message = nil
	})
	return q.encoded, q.err
}

func encode(m message.Message, compress bool) (*pb.Frame, error) {
	f, err := Encode(m)
	if err != nil || !compress {
		return f, err
	}
	return Compress(f)
}

// content identifies the content of a message about the configuration.
type content struct {
	whole          bool
	from, to, hash uint64
}

// contentOf returns the content of a message that may be as large as the configuration,
// or false for any other.
func contentOf(m message.Message) (content, bool) {
	switch m := m.(type) {
	case message.ConfigWhole:
		return content{whole: true, to: m.Version, hash: m.Hash}, true
	case message.ConfigDelta:
		return content{from: m.Delta.From, to: m.Delta.To, hash: m.Delta.Hash}, true
	}
	return content{}, false
}

// packer prepares messages for the queues of all links of a Transport.
type packer struct {
	compress bool
	mu       sync.Mutex
	shared   map[content]weak.Pointer[queued] // dead once all links have sent it
}

func newPacker(compress bool) *packer {
	return &packer{compress: compress, shared: map[content]weak.Pointer[queued]{}}
}

// pack returns a message as it is queued. Links to which the same configuration is sent
// at the same time share its frame.
func (p *packer) pack(m message.Message) *queued {
	c, sharable := contentOf(m)
	if !sharable {
		return &queued{compress: p.compress, message: m}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.shared[c].Value(); q != nil {
		return q
	}
	maps.DeleteFunc(p.shared, func(_ content, q weak.Pointer[queued]) bool { return q.Value() == nil })
	q := &queued{compress: p.compress, message: m}
	p.shared[c] = weak.Make(q)
	return q
}
