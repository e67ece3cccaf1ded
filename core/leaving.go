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
// backend server that was acknowledged as leaving.
type LeavingRecord struct {
	Backend     string `json:"backend"`
	StartMillis int64  `json:"started,omitempty"` // as in BackendReported
	AtMillis    int64  `json:"at"`                // when it said so, in Unix milliseconds of its host
}

// covers reports whether what a backend server says of itself comes from the instance that
// left, or from an earlier one. Without a start time in the record, an instance of the same ID
// is a later one if it started after the leaving.
func (r LeavingRecord) covers(backend string, startMillis int64) bool {
	switch {
	case r.Backend == "":
		return false
	case startMillis == 0:
		return backend == r.Backend
	case r.StartMillis == 0:
		return backend == r.Backend && startMillis <= r.AtMillis
	case backend == r.Backend:
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
	reread      bool // a write failed or met another record: read before the next
	failed      bool // the last call failed
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
func (l *leaving) kept() bool { return l.read && l.wanted == (LeavingRecord{}) }

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
	if l.stored.covers(e.Backend, e.StartMillis) || l.wanted.covers(e.Backend, e.StartMillis) {
		s.log(notice.LeftBackendReported, Attr{"backend", e.Backend}, Attr{"started", e.StartMillis}, Attr{"sequence", e.Sequence})
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
	if s.leaving.kept() {
		s.answerReport(e.Report, ReportApplied, "")
		return
	}
	if e.Report != 0 {
		s.leaving.awaiting = append(s.leaving.awaiting, awaitingReport{id: e.Report, at: s.now})
	}
}

// keepLeaving has the platform keep that the current instance leaves.
func (s *State) keepLeaving() {
	l, h := &s.leaving, &s.backend.heartbeat
	if !s.cfg.Announced || h.Backend == "" {
		return
	}
	for _, r := range []LeavingRecord{l.stored, l.wanted} {
		if r.Backend == h.Backend && r.StartMillis == h.StartMillis {
			return
		}
	}
	l.wanted = LeavingRecord{Backend: h.Backend, StartMillis: h.StartMillis, AtMillis: s.now.UnixMilli()}
	s.leavingCall()
}

// leavingTick sends the call that is due, and answers reports that have waited for long.
func (s *State) leavingTick() {
	if !s.cfg.Announced {
		return
	}
	l := &s.leaving
	for len(l.awaiting) > 0 && s.now.Sub(l.awaiting[0].at) >= keepWait {
		s.answerReport(l.awaiting[0].id, ReportNotKept, "the platform has not kept yet that it leaves: ask again")
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
	l.stored, l.version = LeavingRecord{}, 0
	if done.Err == StoreOK && len(done.Objects) == 1 && !s.requestFaults.forgetNotices {
		l.version = done.Objects[0].Version
		l.stored = parseLeaving(done.Objects[0].Data)
	}
	if l.stored.covers(l.wanted.Backend, l.wanted.StartMillis) {
		l.wanted = LeavingRecord{}
	}
	if b := &s.backend; l.stored.covers(b.heartbeat.Backend, b.heartbeat.StartMillis) {
		s.beginDrain()
	}
	s.releaseReports()
	s.leavingCall()
}

// parseLeaving returns the record, the zero value if it can't be read: another program may have
// left it. It is replaced at its version.
func parseLeaving(data []byte) LeavingRecord {
	var rec LeavingRecord
	if json.Unmarshal(data, &rec) != nil {
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
		Attr{"tookMillis", s.now.UnixMilli() - l.stored.AtMillis})
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
