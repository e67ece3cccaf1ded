package peer

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
)

// TestSetIsCompressedForEachChild guards against doing the work for one set once for each link.
func TestSetIsCompressedForEachChild(t *testing.T) {
	is := is.New(t)
	p := newPacker(true)
	whole := func(version, hash uint64) message.ConfigWhole {
		return message.ConfigWhole{Version: version, Hash: hash, Objects: []config.Object{{Name: "a", Spec: json.RawMessage(`{}`)}}}
	}
	delta := message.ConfigDelta{Delta: config.Delta{From: 1, To: 2, Hash: 20}}
	first := p.pack(whole(2, 20))
	frame, err := first.frame()
	is.NoErr(err)
	is.Equal(first.message, nil) // the set is not kept for the sake of the frame
	again, err := p.pack(whole(2, 20)).frame()
	is.NoErr(err)
	is.True(frame == again)                // the same frame
	is.True(p.pack(whole(2, 21)) != first) // other content
	is.True(p.pack(whole(3, 20)) != first) // another version
	is.True(p.pack(delta) != first)        // the change to that version, not the version
	is.True(p.pack(delta) != p.pack(message.ConfigDelta{Delta: config.Delta{From: 0, To: 2, Hash: 20}}))
	leaving := p.pack(message.Leaving{})
	is.True(p.pack(message.Leaving{}) != leaving) // of its own for each link
}
