package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
)

// TestConfigurationThatIsHeldIsReadAgain checks that of a configuration from the platform
// no more than the version is read unless it is newer than the one in force.
func TestConfigurationThatIsHeldIsReadAgain(t *testing.T) {
	is := is.New(t)
	n, _ := newTestNode()
	reads := 0
	text := func(version uint64) *config.SourceText {
		return &config.SourceText{Version: version, Read: func() config.SourceSet {
			reads++
			return config.SourceSet{Version: version, Objects: make([]config.Object, 3)}
		}}
	}
	held := n.sourceSet(text(n.ConfigVersion()))
	is.Equal(reads, 0)
	is.Equal(held.Version, n.ConfigVersion())
	newer := n.sourceSet(text(n.ConfigVersion() + 1))
	is.Equal(reads, 1)
	is.Equal(len(newer.Objects), 3)
	is.True(n.sourceSet(nil) == nil)
}
