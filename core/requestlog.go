package core

import (
	"github.com/agatekeel/agatekeel/core/notice"
)

func (s *State) logEnded(c *call, f Finish) {
	s.log(notice.RequestEnded, Attr{"request", c.request}, Attr{"service", c.service}, Attr{"outcome", f.Outcome.String()},
		Attr{"reason", f.Reason}, Attr{"attempts", c.attempts}, Attr{"tookMillis", s.now.Sub(c.arrived).Milliseconds()},
		Attr{"retryMillis", f.RetryAfter.Milliseconds()})
}

func (s *State) logAnswered(c *call, e AttemptEnded) {
	s.log(notice.RequestAnswered, Attr{"request", c.request}, Attr{"service", c.service}, Attr{"target", c.targetID()}, Attr{"status", e.Status},
		Attr{"attempts", c.attempts}, Attr{"tookMillis", s.now.Sub(c.arrived).Milliseconds()}, Attr{"cut", e.Reason})
}

func (s *State) logAttemptEnded(c *call, e AttemptEnded, retried bool) {
	s.log(notice.AttemptEnded, Attr{"request", c.request}, Attr{"service", c.service}, Attr{"attempt", c.attempt.String()}, Attr{"target", c.targetID()},
		Attr{"outcome", e.Outcome.String()}, Attr{"status", e.Status}, Attr{"reason", e.Reason},
		Attr{"tookMillis", s.now.Sub(c.sent).Milliseconds()}, Attr{"again", retried})
}
