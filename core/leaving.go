package core

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/endpoint"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/notice"
)

// A backend server that leaves relies on the acknowledgement: no request reaches it later.
// The process that acknowledged may end, alone or with all others, and the next one would take
// a heartbeat that was sent before for news. So the leaving is kept in the platform before it is
// acknowledged, and a process reads it before it puts its backend server into service.

const (
	// keepWait bounds the time until a report is answered. A backend server waits a second.
	keepWait = 700 * time.Millisecond
	// maxHeldReports bounds the reports that wait until the platform was read.
	maxHeldReports = 8
)

// LeavingRecord is the stored value of keyspace.Leavings: the newest instance of a node's
// backend server that was acknowledged as leaving, or that an operator took out of service.
// The zero value of Backend and Operator stands for none.
type LeavingRecord struct {
	Backend     string `json:"backend"`           // empty with Operator: the one that runs, whose name is not known
	StartMillis int64  `json:"started,omitempty"` // as in BackendReported
	AtMillis    int64  `json:"at"`                // when that was said, in Unix milliseconds of the node's host
	Operator    bool   `json:"operator,omitempty"`
	InService   bool   `json:"inService,omitempty"` // an operator has taken it back: only earlier instances have left
}

// names reports whether the record names an instance.
func (r LeavingRecord) names() bool { return r.Backend != "" || r.Operator }

// byItself reports whether the backend server itself has said that it leaves.
func (r LeavingRecord) byItself() bool { return r.Backend != "" && !r.Operator && !r.InService }

// includes reports whether nothing is left to keep of o beside r. What an operator says can be
// taken back, so it doesn't include what the backend server says.
func (r LeavingRecord) includes(o LeavingRecord) bool {
	return r.names() && !r.InService && r.Backend == o.Backend && r.StartMillis == o.StartMillis && (!r.Operator || o.Operator)
}

// covers reports whether what a backend server says of itself comes from the instance that
// left, or from an earlier one. Without a start time in the record, an instance of the same ID
// is a later one if it started after the leaving.
func (r LeavingRecord) covers(backend string, startMillis int64) bool {
	switch {
	case !r.names():
		return false
	case r.Backend == "":
		return startMillis <= r.AtMillis
	case startMillis == 0:
		return backend == r.Backend && !r.InService
	case r.StartMillis == 0:
		return backend == r.Backend && startMillis <= r.AtMillis && !r.InService
	case backend == r.Backend && !r.InService:
		return startMillis <= r.StartMillis
	}
	return startMillis < r.StartMillis
}

// leaving is the state of keeping that the backend server leaves.
type leaving struct {
	read    bool          // the platform's record has been read
	vouched bool          // while it could not be, the backend server itself has shown that it does not leave
	stored  LeavingRecord // as last read or written
	version uint64        // of the platform's record; zero: none
	wanted  LeavingRecord // to be stored; the zero value: nothing

	callPending bool
	askedAt     time.Time // when the first call was made
	reread      bool      // a write failed or met another record: read before the next
	restored    bool      // the platform was restored from a copy: it may lack the record
	failed      bool      // the last call failed
	retryAt     time.Time
	backoff     backoff

	held     []BackendReported // reports of serving instances, until known
	awaiting []awaitingReport  // reports to be answered once the leaving is kept
}

type awaitingReport struct {
	id ReportID
	at time.Time // when it arrived
}

func (l *leaving) known() bool { return l.read || l.vouched }

// kept reports whether all that has to be stored is.
func (l *leaving) kept() bool { return l.read && !l.restored && l.wanted == (LeavingRecord{}) }

// probeMayServe reports whether a probe may put the backend server into service, as far as it is
// known whether an operator took it out. A platform that is away delays that for keepWait.
func (l *leaving) probeMayServe(now time.Time) bool {
	return l.read || l.failed || !l.askedAt.IsZero() && now.Sub(l.askedAt) >= keepWait
}

// hold keeps a report until it is known which instance has left. The oldest one goes if there
// are too many.
func (l *leaving) hold(e BackendReported) {
	e.Report = 0 // it is answered at once
	if len(l.held) == maxHeldReports {
		l.held = l.held[1:]
	}
	l.held = append(l.held, e)
}

func (s *State) leavingKey() string {
	return keyspace.Leavings + s.cfg.DataCentre + "/" + s.cfg.Node
}

// backendReported applies a report of this node's backend server, and answers it. A report that
// it leaves is answered once that is kept.
func (s *State) backendReported(e BackendReported) {
	l := &s.leaving
	switch {
	case !s.cfg.Announced:
		s.answerReport(e.Report, ReportApplied, "")
	case e.Service != "" && e.Service != s.cfg.Service:
		s.answerReport(e.Report, ReportRefused, fmt.Sprintf("service %q is not that of this node's backend server", e.Service))
	case e.State.Serves() && !l.known():
		l.hold(e)
		s.answerReport(e.Report, ReportApplied, "")
	case e.State.Serves():
		s.servingReported(e)
		s.answerReport(e.Report, ReportApplied, "")
	default:
		s.backendHeartbeat(e)
		s.keepReported(e)
	}
}

// servingReported applies a report of an instance that serves, unless the instance has left.
func (s *State) servingReported(e BackendReported) {
	l := &s.leaving
	for _, r := range []LeavingRecord{l.stored, l.wanted} {
		if !r.covers(e.Backend, e.StartMillis) {
			continue
		}
		if !r.Operator { // one that an operator took out of service goes on with its heartbeats
			s.log(notice.LeftBackendReported, Attr{"backend", e.Backend}, Attr{"started", e.StartMillis}, Attr{"sequence", e.Sequence})
		}
		return
	}
	s.backendHeartbeat(e)
}

// keepReported keeps that an instance leaves, and answers its report then. An instance before
// the one in service needs no record: no request is meant for it.
func (s *State) keepReported(e BackendReported) {
	if !s.backend.sameInstance(e) {
		s.answerReport(e.Report, ReportApplied, "")
		return
	}
	s.keepLeaving()
	s.answerWhenKept(e.Report)
}

// answerWhenKept answers once all is kept that has to be.
func (s *State) answerWhenKept(id ReportID) {
	if s.leaving.kept() {
		s.answerReport(id, ReportApplied, "")
		return
	}
	if id != 0 {
		s.leaving.awaiting = append(s.leaving.awaiting, awaitingReport{id: id, at: s.now})
	}
}

// currentLeaving is the record that the current instance leaves.
func (s *State) currentLeaving() LeavingRecord {
	h := &s.backend.heartbeat
	return LeavingRecord{Backend: h.Backend, StartMillis: h.StartMillis, AtMillis: s.now.UnixMilli()}
}

// keepLeaving has the platform keep that the current instance leaves.
func (s *State) keepLeaving() {
	if s.cfg.Announced && s.backend.heartbeat.Backend != "" {
		s.keep(s.currentLeaving())
	}
}

func (s *State) keep(r LeavingRecord) {
	l := &s.leaving
	if l.stored.includes(r) || l.wanted.includes(r) {
		return
	}
	l.wanted = r
	s.leavingCall()
}

// leavingTick sends the call that is due, and answers reports that have waited for long.
func (s *State) leavingTick() {
	if !s.cfg.Announced && s.cfg.Service == "" {
		return
	}
	l := &s.leaving
	for len(l.awaiting) > 0 && s.now.Sub(l.awaiting[0].at) >= keepWait {
		s.answerReport(l.awaiting[0].id, ReportNotKept, "the platform has not kept it yet: ask again")
		l.awaiting = l.awaiting[1:]
	}
	s.leavingCall()
	if l.failed && len(l.held) > 0 && !l.known() {
		s.askBackend()
	}
}

// leavingCall reads the record if it is not known, or writes the one that is wanted.
func (s *State) leavingCall() {
	l := &s.leaving
	if l.askedAt.IsZero() {
		l.askedAt = s.now
	}
	switch {
	case l.callPending || s.now.Before(l.retryAt):
	case !l.read || l.reread:
		l.callPending = true
		s.storeGet(s.leavingKey(), storeCall{purpose: forLeavingRead})
	case l.wanted != LeavingRecord{}:
		l.callPending = true
		s.storePut(s.leavingKey(), mustJSON(l.wanted), l.version, storeCall{purpose: forLeavingWrite, leaving: l.wanted})
	}
}

func (s *State) leavingRead(done StoreDone) {
	l := &s.leaving
	l.callPending = false
	if done.Err != StoreOK && done.Err != StoreNotFound {
		s.leavingFailed(done)
		return
	}
	l.read, l.reread, l.failed = true, false, false
	l.backoff.reset()
	if l.restored && l.wanted == (LeavingRecord{}) {
		l.wanted = l.stored // written again if it is lost
	}
	l.restored = false
	l.stored, l.version = LeavingRecord{}, 0
	if done.Err == StoreOK && len(done.Objects) == 1 && !s.requestFaults.forgetNotices {
		l.version = done.Objects[0].Version
		l.stored = s.parseLeaving(done.Objects[0].Data)
	}
	s.compareWanted()
	if b := &s.backend; l.stored.covers(b.heartbeat.Backend, b.heartbeat.StartMillis) {
		s.beginDrain()
	}
	s.releaseReports()
	s.leavingCall()
}

// platformRestored has the record written again if the platform has lost it, and tells other nodes:
// most of them make no call that would show them.
func (s *State) platformRestored(era uint64) {
	if era <= s.platform.restored {
		return
	}
	s.platform.restored = era
	if l := &s.leaving; l.stored != (LeavingRecord{}) || l.wanted != (LeavingRecord{}) || l.callPending {
		l.restored, l.reread = true, true
		s.leavingCall()
	}
	s.notifyChildren()
}

// compareWanted drops what need not be written any more beside the record that was read.
func (s *State) compareWanted() {
	l := &s.leaving
	w := l.wanted
	switch {
	case w.InService && l.stored.Operator:
		l.stored = w
	case w.InService, // there is nothing to take back
		w.Operator && w.Backend == "" && l.stored.byItself(),
		l.stored.covers(w.Backend, w.StartMillis) && (!l.stored.Operator || w.Operator):
		l.wanted = LeavingRecord{}
	}
}

// maxAhead bounds the times of a record. One beyond it was left by another program, and would keep
// later instances out of service.
const maxAhead = time.Hour

// parseLeaving returns the record, the zero value if it can't be read: another program may have
// left it. It is replaced at its version.
func (s *State) parseLeaving(data []byte) LeavingRecord {
	var rec LeavingRecord
	latest := s.now.Add(maxAhead).UnixMilli()
	if json.Unmarshal(data, &rec) != nil || rec.StartMillis > latest || rec.AtMillis > latest {
		return LeavingRecord{}
	}
	return rec
}

func (s *State) leavingWritten(c storeCall, done StoreDone) {
	l := &s.leaving
	l.callPending = false
	if done.Err != StoreOK {
		l.reread = true
		s.leavingFailed(done)
		return
	}
	l.failed = false
	l.backoff.reset()
	l.stored, l.version = c.leaving, done.Version
	if l.wanted == c.leaving {
		l.wanted = LeavingRecord{}
	}
	s.log(notice.LeavingKept, Attr{"backend", l.stored.Backend}, Attr{"started", l.stored.StartMillis},
		Attr{"operator", l.stored.Operator}, Attr{"inService", l.stored.InService}, Attr{"tookMillis", s.now.UnixMilli() - l.stored.AtMillis})
	s.releaseReports()
	s.leavingCall()
}

// leavingFailed schedules the next call after one that failed. A record that was changed
// meanwhile is read at once.
func (s *State) leavingFailed(done StoreDone) {
	l := &s.leaving
	if done.Err == StoreConflict {
		s.leavingCall()
		return
	}
	l.failed = true
	s.platformFailed(done)
	l.retryAt = s.nextTry(&l.backoff)
}

// releaseReports applies the reports that were held, and answers those that wait for what is
// kept now.
func (s *State) releaseReports() {
	l := &s.leaving
	held := l.held
	l.held = nil
	for _, e := range held {
		s.servingReported(e)
	}
	if !l.kept() {
		return
	}
	for _, r := range l.awaiting {
		s.answerReport(r.id, ReportApplied, "")
	}
	l.awaiting = nil
}

// askBackend probes the backend server if the platform can't tell whether it has left.
func (s *State) askBackend() {
	b := &s.backend
	if b.probing || s.now.Before(b.probeAt) || !s.hasCurrentConfig() {
		return // without a configuration it would get no requests, and its health endpoint is not known
	}
	b.probing, b.probeAt = true, s.now.Add(s.cfg.ProbeEvery)
	s.emit(ProbeBackend{Path: s.holder.snapshot.HealthPath(s.cfg.Service)})
}

// backendVouched applies a probe by askBackend. A backend server that says that it is healthy
// does not leave. Reports of other instances stay held.
func (s *State) backendVouched(e BackendProbed) {
	l := &s.leaving
	if !e.OK || e.Leaving || l.known() || len(l.held) == 0 {
		return
	}
	if newest := l.held[len(l.held)-1]; newest.Backend != e.Backend || newest.State != endpoint.Ready {
		return
	}
	l.vouched = true
	s.log(notice.BackendVouched, Attr{"backend", e.Backend})
	held := l.held
	l.held = nil
	for _, r := range held {
		if r.Backend == e.Backend {
			s.servingReported(r)
		}
	}
}

func (s *State) answerReport(id ReportID, v ReportVerdict, reason string) {
	if id != 0 {
		s.emit(AnswerReport{Report: id, Verdict: v, Reason: reason})
	}
}
