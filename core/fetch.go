package core

import (
	"encoding/json"
	"fmt"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
)

// fetch is the state of reading one configuration version from the platform.
type fetch struct {
	head     config.Head
	manifest config.Manifest
	chunks   map[string][]byte // held or read so far, by name
	missing  int               // chunks not yet read
}

func (s *State) readHead() {
	s.storeList(keyspace.Head, storeCall{purpose: forHeadRead})
}

func (s *State) headReadDone(done StoreDone) {
	if s.member.phase != phaseRoot {
		return
	}
	if done.Err != StoreOK {
		s.readHeadLater(done)
		return
	}
	s.platform.backoff.reset()
	s.root.watchFrom = done.Revision
	s.root.headRead = true
	if len(done.Objects) == 0 {
		s.updateCurrent()
		return
	}
	s.headReceived(done.Objects[0].Data)
}

func (s *State) headWatched(done StoreDone) {
	if s.member.phase != phaseRoot {
		return
	}
	s.root.watchPending = false
	switch done.Err {
	case StoreOK:
		s.root.watchFrom = max(s.root.watchFrom, done.Revision)
		for _, o := range done.Objects {
			if !o.Deleted {
				s.headReceived(o.Data)
			}
		}
	case StoreCompacted:
		s.root.headRead = false
		s.readHead()
	default:
		s.root.headRead = false
		s.readHeadLater(done)
	}
}

// readHeadLater schedules a read of the head after a call that failed.
func (s *State) readHeadLater(failed StoreDone) {
	s.platformFailed(failed)
	s.storeListLater(keyspace.Head, storeCall{purpose: forHeadRead})
}

func (s *State) headReceived(data []byte) {
	var h config.Head
	if err := json.Unmarshal(data, &h); err != nil {
		s.refuseConfig(fmt.Sprintf("head can't be read: %v", err))
		return
	}
	s.member.newestVersion = max(s.member.newestVersion, h.Version)
	if h.Version <= s.configVersion() {
		s.updateCurrent()
		return
	}
	if s.root.fetch != nil && s.root.fetch.head.Version >= h.Version {
		return
	}
	s.root.fetch = &fetch{head: h, chunks: map[string][]byte{}}
	s.storeGet(keyspace.Manifests+h.Manifest, storeCall{purpose: forManifest, name: h.Manifest})
}

func (s *State) manifestRead(c storeCall, done StoreDone) {
	f := s.root.fetch
	if f == nil || f.head.Manifest != c.name {
		return
	}
	data, ok := s.fetched(done)
	if !ok {
		return
	}
	if err := json.Unmarshal(data, &f.manifest); err != nil {
		s.root.fetch = nil
		s.refuseConfig(fmt.Sprintf("manifest %s can't be read: %v", c.name, err))
		return
	}
	held := s.heldChunks()
	for _, name := range f.manifest.Chunks {
		if data, ok := held[name]; ok {
			f.chunks[name] = data
			continue
		}
		f.missing++
		s.storeGet(keyspace.Chunks+name, storeCall{purpose: forChunk, name: name, version: f.head.Version})
	}
	s.finishFetch()
}

// heldChunks returns the chunks of the held set by name. A change of a few
// objects leaves most of them unchanged, so they need not be read again.
func (s *State) heldChunks() map[string][]byte {
	held := map[string][]byte{}
	e, err := s.encodedSet()
	if err != nil {
		return held
	}
	for _, c := range e.Chunks() {
		held[c.Name] = c.Data
	}
	return held
}

func (s *State) chunkRead(c storeCall, done StoreDone) {
	f := s.root.fetch
	if f == nil || f.head.Version != c.version {
		return
	}
	data, ok := s.fetched(done)
	if !ok {
		return
	}
	f.chunks[c.name] = data
	f.missing--
	s.finishFetch()
}

// fetched returns the object read for the fetch in progress. If the read failed, the fetch
// is given up.
func (s *State) fetched(done StoreDone) ([]byte, bool) {
	if done.Err != StoreOK || len(done.Objects) != 1 {
		s.fetchFailed(done)
		return nil, false
	}
	return done.Objects[0].Data, true
}

// fetchFailed schedules a new read of the head: the version may have been
// replaced and its chunks removed by garbage collection.
func (s *State) fetchFailed(done StoreDone) {
	s.root.fetch = nil
	s.root.headRead = false
	s.readHeadLater(done)
}

func (s *State) finishFetch() {
	f := s.root.fetch
	if f.missing > 0 {
		return
	}
	s.root.fetch = nil
	if f.manifest.Version <= s.configVersion() {
		return // the version has arrived over a link since
	}
	held, err := s.encodedSet()
	if err != nil {
		s.refuseConfig(err.Error())
		return
	}
	set, delta, err := held.Decode(s.holder.set, f.manifest, f.chunks)
	if err != nil {
		s.refuseConfig(err.Error())
		return
	}
	s.applySet(set, delta)
}
