package core

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/lease"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
)

// Keys of configuration in the platform.
const (
	headKey        = "config/head"
	manifestPrefix = "config/manifest/"
	chunkPrefix    = "config/chunk/"
)

// root is what a node does while it is the root of its data centre: it
// watches the head and links with the roots of the other data centres.
type root struct {
	listAt     time.Time
	listing    bool
	listSent   time.Time               // of the list under way
	listedFrom time.Time               // when the last list that succeeded was sent
	others     map[string]lease.Record // by data centre
	reports    map[string]message.Report
	watching   bool
	revision   uint64 // the watch goes on from here
	headRead   bool   // the head has been read since this node became root
	fetch      *fetch
}

// fetch is the read of one version from the platform.
type fetch struct {
	head     config.Head
	manifest config.Manifest
	chunks   map[string][]byte
	missing  int
}

func newRoot(Config) root {
	return root{others: map[string]lease.Record{}, reports: map[string]message.Report{}}
}

func (s *State) becomeRoot() {
	s.setPhase(phaseRoot)
	s.member.parent, s.member.path, s.member.rooted = 0, nil, false
	s.root = newRoot(s.cfg)
	s.log(notice.LeaseTaken, Attr{"lease", rootLeasePrefix + s.cfg.DataCentre}, Attr{"epoch", s.member.lease.Epoch()})
	s.readHead()
}

// resignRoot gives the role up: another node holds the lease.
func (s *State) resignRoot(reason string) {
	s.log(notice.LeaseLost, Attr{"lease", rootLeasePrefix + s.cfg.DataCentre}, Attr{"reason", reason})
	for _, id := range sortedLinks(s.links) {
		if l, ok := s.links[id]; ok && l.role == roleRoot {
			s.drop(id, "no longer root")
		}
	}
	s.root = newRoot(s.cfg)
	s.seekAgain(s.cfg.JoinJitter)
}

func (s *State) rootTick() {
	if s.member.phase != phaseRoot {
		return
	}
	if w, due := s.member.lease.Next(s.now, true); due {
		s.storePut(rootLeasePrefix+s.cfg.DataCentre, mustJSON(w.Record), w.Base, storeCall{purpose: forRootLeaseWrite})
	}
	if !s.root.listing && !s.now.Before(s.root.listAt) {
		s.root.listing, s.root.listSent = true, s.now
		s.storeList("lease/", storeCall{purpose: forLeaseList})
	}
	if s.root.headRead && !s.root.watching {
		s.root.watching = true
		s.storeWatch(headKey, s.root.revision, s.cfg.WatchWait, storeCall{purpose: forHeadWatch})
	}
}

// leasesListed learns the other roots, whether this node is still the one of
// its data centre, and who publishes.
func (s *State) leasesListed(done StoreDone) {
	s.root.listing = false
	s.root.listAt = s.now.Add(s.cfg.LeaseRenew)
	if done.Err != StoreOK {
		s.platformFailed(done)
		return
	}
	others := map[string]lease.Record{}
	publisherSeen := false
	for _, o := range done.Objects {
		var rec lease.Record
		if json.Unmarshal(o.Data, &rec) != nil {
			continue
		}
		dc, isRoot := strings.CutPrefix(o.Key, rootLeasePrefix)
		switch {
		case o.Key == publisherLeaseKey:
			publisherSeen = true
			s.publisher.lease.Observe(s.now, rec, o.Version)
		case isRoot && dc == s.cfg.DataCentre:
			s.member.lease.Observe(s.now, rec, o.Version)
		case isRoot:
			others[dc] = rec
		}
	}
	if !publisherSeen {
		s.publisher.lease.Observe(s.now, lease.Record{}, 0)
	}
	if rec, ok := s.member.lease.Record(); ok && rec.Holder != s.cfg.Node {
		s.resignRoot("held by " + rec.Holder)
		return
	}
	s.root.others, s.root.listedFrom = others, s.root.listSent
	s.linkRoots()
}

// linkRoots keeps one link to each other root. Of two roots the one whose
// data centre has the smaller name dials, so that one link stands.
func (s *State) linkRoots() {
	linked := map[string]bool{}
	for _, id := range sortedLinks(s.links) {
		if l := s.links[id]; l.role == roleRoot {
			linked[l.peer] = true
		}
	}
	for _, dc := range sortedNames(s.root.others) {
		rec := s.root.others[dc]
		if s.cfg.DataCentre < dc && !linked[rec.Address] {
			id := s.dial(rec.Address, roleRoot)
			s.links[id].dc = dc
		}
	}
}

func (s *State) readHead() {
	s.storeList(headKey, storeCall{purpose: forHeadRead})
}

func (s *State) headReadDone(done StoreDone) {
	if s.member.phase != phaseRoot {
		return
	}
	if done.Err != StoreOK {
		s.platformFailed(done)
		s.storeListLater(headKey, storeCall{purpose: forHeadRead})
		return
	}
	s.platform.backoff.succeeded()
	s.root.revision = done.Revision
	s.root.headRead = true
	if len(done.Objects) == 0 {
		s.caughtUp()
		return
	}
	s.headSeen(done.Objects[0].Data)
}

func (s *State) headWatched(done StoreDone) {
	if s.member.phase != phaseRoot {
		return
	}
	s.root.watching = false
	switch done.Err {
	case StoreOK:
		s.root.revision = max(s.root.revision, done.Revision)
		for _, o := range done.Objects {
			if !o.Deleted {
				s.headSeen(o.Data)
			}
		}
	case StoreCompacted:
		s.root.headRead = false
		s.readHead()
	default:
		s.platformFailed(done)
		s.root.headRead = false
		s.storeListLater(headKey, storeCall{purpose: forHeadRead})
	}
}

func (s *State) headSeen(data []byte) {
	var h config.Head
	if err := json.Unmarshal(data, &h); err != nil {
		s.refuse(fmt.Sprintf("head can't be read: %v", err))
		return
	}
	s.member.target = max(s.member.target, h.Version)
	if h.Version <= s.configVersion() {
		s.caughtUp()
		return
	}
	if s.root.fetch != nil && s.root.fetch.head.Version >= h.Version {
		return
	}
	s.root.fetch = &fetch{head: h, chunks: map[string][]byte{}}
	s.storeGet(manifestPrefix+h.Manifest, storeCall{purpose: forManifest, name: h.Manifest})
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
		s.refuse(fmt.Sprintf("manifest %s can't be read: %v", c.name, err))
		return
	}
	held := s.heldChunks()
	for _, name := range f.manifest.Chunks {
		if data, ok := held[name]; ok {
			f.chunks[name] = data
			continue
		}
		f.missing++
		s.storeGet(chunkPrefix+name, storeCall{purpose: forChunk, name: name, version: f.head.Version})
	}
	s.fetchDone()
}

// heldChunks returns the chunks of the held set, which a change of a few
// objects leaves the same but for a few.
func (s *State) heldChunks() map[string][]byte {
	held := map[string][]byte{}
	e, err := s.heldEncoded()
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
	s.fetchDone()
}

// fetchFailed starts again from the head: the version may have been replaced
// and its chunks collected.
func (s *State) fetchFailed(done StoreDone) {
	s.root.fetch = nil
	s.platformFailed(done)
	s.root.headRead = false
	s.storeListLater(headKey, storeCall{purpose: forHeadRead})
}

func (s *State) fetchDone() {
	f := s.root.fetch
	if f.missing > 0 {
		return
	}
	s.root.fetch = nil
	if f.manifest.Version <= s.configVersion() {
		return // it has come another way in the meantime
	}
	held, err := s.heldEncoded()
	if err != nil {
		s.refuse(err.Error())
		return
	}
	set, delta, err := held.Decode(s.holder.set, f.manifest, f.chunks)
	if err != nil {
		s.refuse(err.Error())
		return
	}
	s.adopt(set, delta)
}
