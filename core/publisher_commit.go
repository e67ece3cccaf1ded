package core

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/notice"
)

// Bounds of the size of the head.
const (
	keptSettled   = 64  // settled submissions listed in the head; more only while statuses are unwritten
	maxFaults     = 32  // faults listed for a rejected submission
	maxFaultBytes = 512 // bytes of each text in a fault
)

// process merges a submission into the set, validates the result and starts
// to publish it.
func (s *State) process(j *job) {
	p := &s.publisher
	if p.head.Version != s.configVersion() {
		s.retryPublisher() // this node holds a newer version than the head it read
		return
	}
	faults := []config.Fault{{Reason: j.fault}}
	if j.fault == "" {
		j.next, j.delta, faults = config.MergeDelta(s.holder.set, j.sub)
	}
	if len(faults) == 0 && !s.cfg.publisherFaults.skipValidation {
		_, faults = config.CompileDelta(s.holder.snapshot, s.holder.set, j.next, j.delta)
	}
	if len(faults) == 0 {
		faults = s.encode(j)
	}
	j.head = p.head
	j.head.Epoch = p.lease.Epoch()
	switch {
	case len(faults) > 0:
		j.next = nil
		j.settled = config.SubmissionResult{ID: j.sub.ID, Version: p.head.Version, Rejected: true, Faults: boundFaults(faults)}
		s.commit(j)
	case j.delta.Empty() && p.head.Version > 0:
		j.next = nil // no difference: the result is the published version
		j.settled = config.SubmissionResult{ID: j.sub.ID, Version: p.head.Version}
		s.commit(j)
	default:
		j.settled = config.SubmissionResult{ID: j.sub.ID, Version: j.next.Version}
		s.writeParts(j)
	}
}

// boundFaults limits the size that a submission's faults take in the head
// and the status.
func boundFaults(faults []config.Fault) []config.Fault {
	out := make([]config.Fault, 0, min(len(faults), maxFaults+1))
	for i, f := range faults {
		if i == maxFaults {
			return append(out, config.Fault{Reason: fmt.Sprintf("and %d more faults", len(faults)-maxFaults)})
		}
		f.Object.Kind = config.Kind(boundText(string(f.Object.Kind)))
		f.Object.Name, f.Field, f.Reason = boundText(f.Object.Name), boundText(f.Field), boundText(f.Reason)
		out = append(out, f)
	}
	return out
}

func boundText(text string) string {
	if len(text) <= maxFaultBytes {
		return text
	}
	cut := maxFaultBytes
	for cut > 0 && !utf8.RuneStart(text[cut]) {
		cut--
	}
	return text[:cut] + "..."
}

// encode converts the next set to its stored form. Chunks without a changed
// object are reused from the held set.
func (s *State) encode(j *job) []config.Fault {
	held, err := s.encodedSet()
	if err != nil {
		return []config.Fault{{Reason: err.Error()}}
	}
	j.encoded, err = held.Next(j.next, j.delta)
	if err != nil {
		return []config.Fault{{Reason: err.Error()}}
	}
	return nil
}

// writeParts writes, concurrently, the manifest and the chunks that the
// head does not refer to yet. They take effect only with the update of the
// head.
func (s *State) writeParts(j *job) {
	manifest := mustJSON(j.encoded.Manifest)
	j.head.Version, j.head.Hash, j.head.Manifest = j.next.Version, j.encoded.Manifest.Hash, config.ContentName(manifest)
	held := map[string]bool{}
	if e, err := s.encodedSet(); err == nil && config.ContentName(mustJSON(e.Manifest)) == s.publisher.head.Manifest {
		for _, name := range e.Manifest.Chunks {
			held[name] = true
		}
	}
	j.parts = map[string][]byte{keyspace.Manifests + j.head.Manifest: manifest}
	for _, c := range j.encoded.Chunks() {
		if !held[c.Name] {
			j.parts[keyspace.Chunks+c.Name] = c.Data
		}
	}
	j.writes = len(j.parts)
	for _, key := range sortedNames(j.parts) {
		s.writePart(j, key, 0)
	}
}

func (s *State) writePart(j *job, key string, base uint64) {
	step := stepWriteChunk
	if strings.HasPrefix(key, keyspace.Manifests) {
		step = stepWriteManifest
	}
	s.storePut(key, j.parts[key], base, s.publisherCall(step, key))
}

// partWritten commits once all parts are written. A part that already
// exists is rewritten to give it a new version: a publisher may be about to
// delete it, by its old version, as garbage.
func (s *State) partWritten(c storeCall, done StoreDone) {
	j := s.publisher.job
	if done.Err != StoreOK {
		s.storeGet(c.name, s.publisherCall(stepReadExistingPart, c.name))
		return
	}
	j.writes--
	if j.writes == 0 {
		s.commit(j)
	}
}

func (s *State) existingPartRead(c storeCall, done StoreDone) {
	base := uint64(0)
	if done.Err == StoreOK && len(done.Objects) > 0 {
		base = done.Objects[0].Version
	}
	s.writePart(s.publisher.job, c.name, base)
}

// publishAgain publishes the held set, which is newer than the head: it was published
// before this node held it, so the platform has lost it since.
func (s *State) publishAgain() {
	p := &s.publisher
	held, err := s.encodedSet()
	if err != nil {
		s.refuseConfig(err.Error())
		s.retryPublisher()
		return
	}
	p.job = &job{republish: true, next: s.holder.set, encoded: held, head: p.head}
	p.job.head.Epoch = p.lease.Epoch()
	s.writeParts(p.job)
}

func (s *State) commit(j *job) {
	if !j.republish {
		j.head.Recent = s.recent(j.settled)
	}
	s.storePut(keyspace.Head, mustJSON(j.head), s.publisher.headVersion, s.publisherCall(stepCommit, ""))
}

// recent returns the settled submissions to list in the next head. One
// whose status is not known to be written is kept, with its faults.
func (s *State) recent(settled config.SubmissionResult) []config.SubmissionResult {
	p := &s.publisher
	extra := len(p.head.Recent) + 1 - keptSettled
	var out []config.SubmissionResult
	for _, old := range p.head.Recent {
		if p.recorded[old.ID] {
			if extra > 0 {
				extra--
				continue
			}
			old.Faults = nil
		}
		out = append(out, old)
	}
	return append(out, settled)
}

// committed handles the result of the update of the head, which settles the
// submission.
func (s *State) committed(done StoreDone) {
	p, j := &s.publisher, s.publisher.job
	if done.Err != StoreOK {
		s.retryPublisher()
		return
	}
	p.head, p.headVersion = j.head, done.Version
	if j.republish {
		s.restartPublisher(s.now)
		return
	}
	s.pruneRecorded()
	if j.next != nil && j.next.Version > s.configVersion() {
		s.holder.encoded = j.encoded
		s.applySet(j.next, j.delta)
	}
	s.writeStatus(j)
}

// pruneRecorded removes the records of submissions that the head no longer
// lists.
func (s *State) pruneRecorded() {
	p := &s.publisher
	recorded := make(map[string]bool, len(p.head.Recent))
	for _, settled := range p.head.Recent {
		if p.recorded[settled.ID] {
			recorded[settled.ID] = true
		}
	}
	p.recorded = recorded
}

func (s *State) logSettled(settled config.SubmissionResult) {
	if settled.Rejected {
		s.log(notice.SubmissionRejected, Attr{"id", settled.ID}, Attr{"faults", len(settled.Faults)})
		return
	}
	s.log(notice.SubmissionAccepted, Attr{"id", settled.ID}, Attr{"version", settled.Version})
}

// untrackAccepted stops tracking an accepted submission.
func (p *publisher) untrackAccepted(i int) { p.accepted = slices.Delete(p.accepted, i, i+1) }
