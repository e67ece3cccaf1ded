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

// root is the state of a node as root of its data centre: it watches the
// configuration head on the platform and keeps links to the roots of the other
// data centres.
type root struct {
	nextList     time.Time                 // when the next list of leases is due
	listPending  bool                      // a list is in progress
	listSentAt   time.Time                 // when the list in progress was sent
	listedAsOf   time.Time                 // when the last successful list was sent
	otherRoots   map[string]lease.Record   // by data centre
	reports      map[string]message.Report // of other roots, by data centre
	watchPending bool                      // a watch of the head is in progress
	watchFrom    uint64                    // revision of the platform
	headRead     bool                      // the head has been read since this node became root
	fetch        *fetch                    // nil: none in progress

	since           time.Time      // when this node became root
	withoutLease    bool           // this node acts as root without holding the lease
	completeVersion uint64         // version applied by all nodes the last time that none was missing
	nextLinkCheck   time.Time      // when linkRoots is next due
	lookupTries     map[string]int // dials made to find a root, by data centre
	joinLimiter     *tree.Limiter
	missingSince    time.Time       // since when the tree has had fewer nodes than the table; zero: it has not
	censusEnd       time.Time       // when the census in progress ends; zero: none is
	censusAnswered  map[string]bool // by node
	absent          []string        // nodes that had not answered at absentAt
	absentAt        time.Time       // when absent was last updated
	sweptAt         time.Time       // when suspects were last checked for removal
	removedAbsent   bool            // the deliberate fault testFaults.noGrace has taken effect
}

// fetch is the state of reading one configuration version from the platform.
type fetch struct {
	head     config.Head
	manifest config.Manifest
	chunks   map[string][]byte // held or read so far, by name
	missing  int               // chunks not yet read
}

func newRoot(cfg Config) root {
	return root{
		otherRoots: map[string]lease.Record{}, reports: map[string]message.Report{}, lookupTries: map[string]int{},
		joinLimiter: tree.NewLimiter(cfg.JoinsPerSecond, 2*cfg.Fanout),
	}
}

func (s *State) becomeRootWithLease() {
	s.logLeaseTaken()
	s.enterRoot(false)
	if !s.cfg.Source {
		s.readHead()
	}
}

func (s *State) logLeaseTaken() {
	s.log(notice.LeaseTaken, Attr{"lease", keyspace.RootLeases + s.cfg.DataCentre}, Attr{"epoch", s.member.lease.Epoch()})
}

// enterRoot makes this node a root, with the lease or, in fallback, without it.
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

// resignRoot ends the root role because another node holds the lease, and looks
// for a parent.
func (s *State) resignRoot(reason string) {
	s.log(notice.LeaseLost, Attr{"lease", keyspace.RootLeases + s.cfg.DataCentre}, Attr{"reason", reason})
	s.leaveRoot()
	s.restartSeeking(s.cfg.JoinJitter)
}

// leaveRoot closes the links to other roots and clears the state of the root
// role. Links to children stay open.
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
		s.storeWatch(keyspace.Head, s.root.watchFrom, s.cfg.WatchWait, storeCall{purpose: forHeadWatch})
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
	if done.Err != StoreOK || len(done.Objects) != 1 {
		s.fetchFailed(done)
		return
	}
	f.chunks[c.name] = done.Objects[0].Data
	f.missing--
	s.finishFetch()
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
