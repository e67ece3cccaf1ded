package core

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/message"
)

// withNewChildren returns a node that holds a set, and has as many children as it may
// have, which hold none.
func withNewChildren(routes int) *State {
	var objects []config.Object
	for i := range routes {
		name := fmt.Sprintf("route-%08x", uint32(i)*2654435761)
		for _, kind := range []config.Kind{config.KindPolicy, config.KindRoute} {
			objects = append(objects, config.Object{Kind: kind, Name: name, Version: 1, Spec: json.RawMessage(`{}`)})
		}
	}
	s := New(Config{})
	s.holder.set = config.NewSet(1, objects)
	for i := range s.cfg.Fanout {
		s.links[LinkID(i+1)] = &link{open: true, role: roleChild, established: true}
	}
	return s
}

func sentSets(s *State) (sets []message.ConfigWhole) {
	for _, e := range s.effects {
		if send, ok := e.(Send); ok {
			sets = append(sets, send.Message.(message.ConfigWhole))
		}
	}
	return sets
}

// TestSetIsSortedForEachChild guards against doing the work for one set once for each child.
func TestSetIsSortedForEachChild(t *testing.T) {
	is := is.New(t)
	s := withNewChildren(10)
	s.sendConfigToChildren()
	first := sentSets(s)
	is.Equal(len(first), s.cfg.Fanout)
	for _, m := range first {
		is.True(&m.Objects[0] == &first[0].Objects[0]) // the same objects, sorted once
	}
	s.holder.set = config.NewSet(2, first[0].Objects[1:])
	s.effects = nil
	s.sendConfigToChildren()
	for _, m := range sentSets(s) {
		is.Equal(m.Version, uint64(2))
		is.Equal(m.Hash, s.holder.set.Hash())
		is.Equal(len(m.Objects), 19) // those of the new version
	}
}

// BenchmarkSendSetToNewChildren measures the reducer's work for sending the set of the
// largest deployment to all children.
func BenchmarkSendSetToNewChildren(b *testing.B) {
	s := withNewChildren(1600)
	b.ReportAllocs()
	for b.Loop() {
		s.effects = s.effects[:0]
		s.tick()
		s.effects = s.effects[:0]
		for _, l := range s.links {
			l.peerVersion = 0
		}
		s.sendConfigToChildren()
	}
}
