package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUrgentRequestsGetTheTokens guards against a less urgent request of an account that gets a token
// while a more urgent one is refused. The load: an account at its quota sends several kinds.
func TestUrgentRequestsGetTheTokens(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := New(testConfig(), now, 1, func(string) (Limit, bool) { return Limit{PerSecond: 10, Burst: 10}, true })
	const parent = Peer(1)
	l.SetParent(now, parent)
	classes := []int{2, 0, 1, 2, 0} // in order of arrival
	asks := []Output{}
	for i, class := range classes {
		verdict, _ := l.Take(now, Waiter(i), class, "a")
		is.Equal(verdict, Waits)
	}
	asks = append(asks, l.Poll(now)...)
	is.Equal(len(asks), 1)
	ask := asks[0].(AskParent).Ask
	is.Equal(ask.Wants[0].Need, len(classes))
	l.Answered(now, parent, Grant{Number: ask.Number, Given: []Given{{Account: "a", Tokens: 3, RetryAfter: time.Second}}})
	granted := map[Waiter]bool{}
	for _, o := range l.Poll(now) {
		settled, ok := o.(Settled)
		is.True(ok)
		granted[settled.ID] = settled.Verdict == Granted
		is.True(settled.Verdict == Granted || settled.RetryAfter == time.Second)
	}
	is.Equal(granted, map[Waiter]bool{0: false, 1: true, 2: true, 3: false, 4: true})
}

// TestRefusedRequestReturnsItsToken guards against a quota that is used up by requests that did not
// run, and against a token that comes back when it would have expired.
func TestRefusedRequestReturnsItsToken(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	config := testConfig()
	config.FirstStart = true
	l := New(config, start, 1, func(string) (Limit, bool) { return Limit{PerSecond: 1, Burst: 2}, true })
	l.Poll(start)
	now := start.Add(10 * time.Second)
	take := func(now time.Time) Verdict {
		v, _ := l.Take(now, 1, 0, "a")
		return v
	}
	is.Equal(take(now), Granted)
	is.Equal(take(now), Granted)
	is.Equal(take(now), Denied)
	l.Refund(now.Add(100*time.Millisecond), "a", now)
	is.Equal(take(now.Add(100*time.Millisecond)), Granted)
	is.Equal(take(now.Add(100*time.Millisecond)), Denied)
	l.Refund(now.Add(time.Hour), "a", now)
	is.Equal(l.Counts().Refunded, uint64(1))
}
