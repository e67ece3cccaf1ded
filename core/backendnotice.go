package core

import (
	"github.com/agatekeel/agatekeel/core/notice"
)

// BackendNotice is what a backend server says of itself in an answer. The zero
// value, apart from the instance, says nothing.
type BackendNotice struct {
	Backend     string // ID of the backend server, as in Run
	StartMillis int64  // its start, as in Run; together they identify the instance
	Limited     bool   // it takes at most RateLimit requests per second
	RateLimit   float64
	Leaving     bool // it takes no new requests
}

// BackendAnswered reports what the local backend server says of itself. It follows
// the first answer after the start of the process and each answer that differs from
// the one before. Fault says why a part of the answer's head could not be read; the
// part counts as unchanged.
type BackendAnswered struct {
	BackendNotice
	Fault string
}

func (BackendAnswered) isEvent() {}

// backendAnswered records what the backend server says of itself. Answers of earlier
// instances are ignored.
func (s *State) backendAnswered(e BackendAnswered) {
	b := &s.backend
	if e.Backend != b.heartbeat.Backend || e.StartMillis != b.heartbeat.StartMillis {
		return
	}
	if e.BackendNotice != b.notice || e.Fault != "" {
		s.log(notice.BackendNoticed, Attr{"backend", e.Backend}, Attr{"limited", e.Limited}, Attr{"perSecond", e.RateLimit},
			Attr{"leaving", e.Leaving}, Attr{"fault", e.Fault})
	}
	b.notice = e.BackendNotice
}

// IsOf reports whether two notices are those of the same instance.
func (n BackendNotice) IsOf(o BackendNotice) bool {
	return n.Backend == o.Backend && n.StartMillis == o.StartMillis
}
