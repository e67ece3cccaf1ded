package core

import (
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/message"
)

// maxDigestMismatches is the number of consecutive heartbeats with a
// different digest after which tables are compared. An update in flight
// causes a mismatch in one heartbeat, not in two.
const maxDigestMismatches = 2

// compareTables starts a comparison with the other end of a link if the
// digest in its heartbeats has differed for long enough.
func (s *State) compareTables(id LinkID, l *link) {
	if l.receivedState.Table == s.table.Digest() {
		l.digestMismatches = 0
		return
	}
	l.digestMismatches++
	if l.digestMismatches >= maxDigestMismatches {
		l.digestMismatches = 0
		s.sendDigests(id)
	}
}

func (s *State) sendDigests(id LinkID) {
	if s.cfg.treeFaults.noDigests {
		return
	}
	s.send(id, message.TableDigests{Digests: s.table.Buckets(s.table.BucketCount())})
}

// digestsReceived replies with the entries of the buckets that differ.
func (s *State) digestsReceived(id LinkID, m message.TableDigests) {
	numbers, ok := s.table.Differing(m.Digests)
	if !ok || len(numbers) == 0 {
		return
	}
	of := len(m.Digests)
	s.send(id, message.TableBuckets{Of: of, Numbers: numbers, Entries: s.table.InBuckets(of, numbers)})
}

// bucketsReceived merges newer entries and replies with those that the
// sender lacks.
func (s *State) bucketsReceived(id LinkID, m message.TableBuckets) {
	if m.Of <= 0 || m.Of > endpoint.MaxBuckets {
		return
	}
	theirs := map[string]endpoint.Entry{}
	for _, e := range m.Entries {
		theirs[e.ID] = e
	}
	s.endpointsReceived(id, m.Entries)
	var lacking []endpoint.Entry
	for _, e := range s.table.InBuckets(m.Of, m.Numbers) {
		if their, ok := theirs[e.ID]; !ok || their.Compare(e) < 0 {
			lacking = append(lacking, e)
		}
	}
	if len(lacking) > 0 {
		s.send(id, message.Endpoints{Entries: lacking})
	}
}

// propagate sends entries to all neighbours except the one they came from.
// Entries received from another root are not forwarded to further roots,
// which receive them directly from that root; table comparison repairs
// differences left by a partial partition.
func (s *State) propagate(from LinkID, entries []endpoint.Entry) {
	fromRoot := false
	if l, ok := s.links[from]; ok {
		fromRoot = l.role == roleRoot
	}
	for _, id := range sortedLinks(s.links) {
		l := s.links[id]
		if id == from || !l.open || l.role == roleNew || fromRoot && l.role == roleRoot || !l.established {
			continue
		}
		s.sendEntries(id, l, entries)
	}
}

// sendEntries sends entries over one link. If BatchWindow is set, entries
// that begin to serve are batched; those that stop serving are sent at
// once.
func (s *State) sendEntries(id LinkID, l *link, entries []endpoint.Entry) {
	if s.cfg.BatchWindow == 0 {
		s.send(id, message.Endpoints{Entries: entries})
		return
	}
	var urgent []endpoint.Entry
	for _, e := range entries {
		delete(l.batch, e.ID)
		if !e.Serves() {
			urgent = append(urgent, e)
			continue
		}
		if len(l.batch) == 0 {
			l.batch, l.batchDue = map[string]bool{}, s.now.Add(s.cfg.BatchWindow)
		}
		l.batch[e.ID] = true
	}
	if len(urgent) > 0 {
		s.send(id, message.Endpoints{Entries: urgent})
	}
}

// batchTick sends the batches whose window has passed.
func (s *State) batchTick() {
	if s.cfg.BatchWindow == 0 {
		return
	}
	for _, id := range sortedLinks(s.links) {
		l := s.links[id]
		if len(l.batch) == 0 || s.now.Before(l.batchDue) {
			continue
		}
		var entries []endpoint.Entry
		for _, name := range sortedNames(l.batch) {
			if r, ok := s.table.Get(name); ok {
				entries = append(entries, r.Entry)
			}
		}
		l.batch = nil
		s.send(id, message.Endpoints{Entries: entries})
	}
}

// endpointsReceived merges entries and forwards those that changed the
// table. A sender that holds a live entry which is gone here gets that
// entry back.
func (s *State) endpointsReceived(from LinkID, entries []endpoint.Entry) {
	var updated, goneHere []endpoint.Entry
	for _, e := range entries {
		if e.ID == s.cfg.Node {
			s.refute(e)
			continue
		}
		old, known := s.table.Get(e.ID)
		if s.table.Merge(s.now, e) {
			if known && old.Incarnation != e.Incarnation {
				s.requests.balancer.Forget(e.ID)
			}
			updated = append(updated, e)
			continue
		}
		if known && old.State == endpoint.Gone && e.State != endpoint.Gone {
			goneHere = append(goneHere, old.Entry)
		}
	}
	if len(goneHere) > 0 && from != 0 {
		s.send(from, message.Endpoints{Entries: goneHere})
	}
	if len(updated) > 0 {
		s.propagate(from, updated)
	}
	s.scheduleReport()
}

// maxLives bounds the lives that a process answers for. It announces a new one only where it
// finds a later one of another process, so there are few.
const maxLives = 16

// refute overrides an update of this node's own entry that another node
// wrote, by announcing the entry with a higher sequence number.
func (s *State) refute(e endpoint.Entry) {
	b := &s.backend
	if e.Compare(b.entry) <= 0 {
		return
	}
	if e.Incarnation.Compare(b.entry.Incarnation) > 0 {
		if e.Peer != b.entry.Peer {
			return // a later process with this ID runs elsewhere: this one is out of date
		}
		// This process has the address, so the other one has ended, and the
		// host's clock was set back in between. The random number stays: another
		// process may have announced a life after the same one.
		b.entry.Incarnation = endpoint.Incarnation{Start: e.Incarnation.Start + 1, Random: s.cfg.Incarnation.Random}
		b.lives = append(b.lives[max(0, len(b.lives)+1-maxLives):], b.entry.Incarnation)
	}
	b.entry.Sequence = e.Sequence
	s.announce(b.entry.State)
}

// tombstoneCollectInterval is the time between two collections of
// tombstones.
const tombstoneCollectInterval = 10 * time.Second

func (s *State) collectTombstones() {
	if s.now.Sub(s.member.collectedAt) < tombstoneCollectInterval {
		return
	}
	s.member.collectedAt = s.now
	s.table.Collect(s.now.Add(-s.cfg.TombstoneFor))
	s.forgetGoneTargets()
}
