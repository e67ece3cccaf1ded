package core_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
)

// published returns a configuration in the encoding of the source.
func published(t *testing.T, version uint64, objects ...config.Object) []byte {
	t.Helper()
	data, err := json.Marshal(config.SourceSet{Version: version, Objects: objects})
	is.New(t).NoErr(err)
	return data
}

func endpointsMessage(entries []endpoint.Entry) message.Message {
	return message.Endpoints{Entries: entries}
}
