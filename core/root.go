package core

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/core/tree"
)

// root is what a node does while it is the root of its data centre: it
// watches the head and links with the roots of the other data centres.
type root struct {
	nextList     time.Time
	listPending  bool
	listSentAt   time.Time               // of the list under way
	listedAsOf   time.Time               // when the last list that succeeded was sent
	otherRoots   map[string]lease.Record // by data centre
	reports      map[string]message.Report
	watchPending bool
	revision     uint64 // the watch goes on from here
	headRead     bool   // the head has been read since this node became root
	fetch        *fetch

	since           time.Time // when this node became root
	withoutLease    bool      // it holds no lease
	completeVersion uint64    // version applied by all when no node was missing last
	nextLinkCheck   time.Time
	lookupTries     map[string]int // to find the root of another data centre
	joinLimiter     *tree.Limiter
	missingSince    time.Time // since when the tree holds fewer nodes than the table
	censusEnd       time.Time
	answered        map[string]bool // nodes that answered the census
	absent          []string        // those that have not, as of absentAt
	absentAt        time.Time
	sweptAt         time.Time
	removedAbsent   bool
}

// fetch is the read of one version from the platform.
type fetch struct {
	head     config.Head
	manifest config.Manifest
	chunks   map[string][]byte
	missing  int
}

func newRoot(cfg Config) root {
	return root{
		otherRoots: map[string]lease.Record{}, reports: map[string]message.Report{}, lookupTries: map[string]int{},
		joinLimiter: tree.NewLimiter(cfg.JoinsPerSecond, 2*cfg.Fanout),
	}
}

func (s *State) becomeRootWithLease() {
	s.log(notice.LeaseTaken, Attr{"lease", keyspace.RootLeases + s.cfg.DataCentre}, Attr{"epoch", s.member.lease.Epoch()})
	s.enterRoot(false)
	if !s.cfg.Source {
		s.readHead()
	}
}

// enterRoot makes this node a root, with or without a lease.
func (s *State) enterRoot(fallback bool) {
	if s.member.phase == phaseRoot {
		s.root.withoutLease = fallback
		return
	}
	if parent := s.member.parent; parent != 0 {
		s.member.parent = 0
		s.drop(parent, "became root")
	}
	s.setPhase(phaseRoot)
	s.member.path, s.member.rooted = nil, false
	s.root = newRoot(s.cfg)
	s.root.since, s.root.withoutLease = s.now, fallback
	s.notifyChildren()
}

// resignRoot gives the role up: another node holds the lease.
func (s *State) resignRoot(reason string) {
	s.log(notice.LeaseLost, Attr{"lease", keyspace.RootLeases + s.cfg.DataCentre}, Attr{"reason", reason})
	s.leaveRoot()
	s.restartSeeking(s.cfg.JoinJitter)
}

// leaveRoot drops what belongs to the role. Children stay.
func (s *State) leaveRoot() {
	for _, id := range sortedLinks(s.links) {
		if l, ok := s.links[id]; ok && l.role == roleRoot {
			s.drop(id, "no longer root")
		}
	}
	s.root = newRoot(s.cfg)
}

func (s *State) rootTick() {
	if s.member.phase != phaseRoot {
		return
	}
	s.linkRoots()
	s.fallbackTick()
	s.updateCurrent()
	if s.root.withoutLease {
		return
	}
	if w, due := s.member.lease.Next(s.now, true); due {
		s.storePut(keyspace.RootLeases+s.cfg.DataCentre, mustJSON(w.Record), w.Base, storeCall{purpose: forRootLeaseWrite})
	}
	if !s.root.listPending && !s.now.Before(s.root.nextList) {
		s.root.listPending, s.root.listSentAt = true, s.now
		s.storeList(keyspace.Leases, storeCall{purpose: forLeaseList})
	}
	if s.root.headRead && !s.root.watchPending {
		s.root.watchPending = true
		s.storeWatch(keyspace.Head, s.root.revision, s.cfg.WatchWait, storeCall{purpose: forHeadWatch})
	}
}

func (s *State) readHead() {
	s.storeList(keyspace.Head, storeCall{purpose: forHeadRead})
}

func (s *State) headReadDone(done StoreDone) {
	if s.member.phase != phaseRoot {
		return
	}
	if done.Err != StoreOK {
		s.platformFailed(done)
		s.storeListLater(keyspace.Head, storeCall{purpose: forHeadRead})
		return
	}
	s.platform.backoff.reset()
	s.root.revision = done.Revision
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
		s.root.revision = max(s.root.revision, done.Revision)
		for _, o := range done.Objects {
			if !o.Deleted {
				s.headReceived(o.Data)
			}
		}
	case StoreCompacted:
		s.root.headRead = false
		s.readHead()
	default:
		s.platformFailed(done)
		s.root.headRead = false
		s.storeListLater(keyspace.Head, storeCall{purpose: forHeadRead})
	}
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
	if done.Err != StoreOK || len(done.Objects) != 1 {
		s.fetchFailed(done)
		return
	}
	if err := json.Unmarshal(done.Objects[0].Data, &f.manifest); err != nil {
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

// heldChunks returns the chunks of the held set, which a change of a few
// objects leaves the same but for a few.
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
	if done.Err != StoreOK || len(done.Objects) != 1 {
		s.fetchFailed(done)
		return
	}
	f.chunks[c.name] = done.Objects[0].Data
	f.missing--
	s.finishFetch()
}

// fetchFailed starts again from the head: the version may have been replaced
// and its chunks collected.
func (s *State) fetchFailed(done StoreDone) {
	s.root.fetch = nil
	s.platformFailed(done)
	s.root.headRead = false
	s.storeListLater(keyspace.Head, storeCall{purpose: forHeadRead})
}

func (s *State) finishFetch() {
	f := s.root.fetch
	if f.missing > 0 {
		return
	}
	s.root.fetch = nil
	if f.manifest.Version <= s.configVersion() {
		return // it has come another way in the meantime
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
