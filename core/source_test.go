package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/notice"
)

// follower drives the reducer of a node that follows a source and holds its
// pending read.
type follower struct {
	t       *testing.T
	state   *core.State
	now     time.Time
	pending core.Effect // the StoreList or StoreWatch of the source in progress; nil: none
	refused int         // ConfigRefused events logged
	read    []string    // SourceRead events logged: why, and whether it was applied
}

func newFollower(t *testing.T) *follower {
	f := &follower{t: t, now: time.Unix(1_800_000_000, 0), state: core.New(core.Config{
		Node: "n", DataCentre: "dc", Peer: "n", Hop: "n", Source: true, Seed: 1,
	})}
	f.step(core.Tick{})
	return f
}

func (f *follower) step(e core.Event) {
	for _, effect := range f.state.Reduce(f.now, e) {
		switch effect := effect.(type) {
		case core.StoreList:
			if effect.Prefix == keyspace.Source {
				f.pending = effect
			}
		case core.StoreWatch:
			f.pending = effect
		case core.Log:
			switch effect.Code {
			case notice.ConfigRefused:
				f.refused++
			case notice.SourceRead:
				f.read = append(f.read, fmt.Sprint(effect.Attrs[0].Value, " ", effect.Attrs[2].Value))
			}
		}
	}
}

// answer completes the read in progress.
func (f *follower) answer(done core.StoreDone) {
	f.t.Helper()
	switch e := f.pending.(type) {
	case core.StoreList:
		done.Call = e.Call
	case core.StoreWatch:
		done.Call = e.Call
	default:
		f.t.Fatal("no read of the source is in progress")
	}
	f.pending = nil
	f.step(done)
}

func (f *follower) deliver(data []byte) {
	f.t.Helper()
	f.answer(core.StoreDone{Objects: []core.StoreObject{{Key: keyspace.Source + "main", Data: data}}, Revision: 10})
}

// listPending and watchPending report which kind of read is in progress.
func (f *follower) listPending() bool {
	_, ok := f.pending.(core.StoreList)
	return ok
}

func (f *follower) watchPending() bool {
	_, ok := f.pending.(core.StoreWatch)
	return ok
}

func (f *follower) advance(d time.Duration) {
	for range d / (50 * time.Millisecond) {
		f.now = f.now.Add(50 * time.Millisecond)
		f.step(core.Tick{})
	}
}

func TestSourceIsFollowed(t *testing.T) {
	is := is.New(t)
	f := newFollower(t)
	is.True(f.listPending())
	ready, _ := f.state.Ready()
	is.True(!ready) // no request is answered before a configuration is held
	f.deliver(published(t, 3, ordersObjects(`{}`)...))
	ready, why := f.state.Ready()
	is.Equal(why, "")
	is.True(ready)
	is.True(f.watchPending()) // at once, since a change may have been made meanwhile
	f.deliver(published(t, 5, ordersObjects(`{"maxAttempts":5}`)...))
	is.Equal(f.state.ConfigVersion(), uint64(5))
	f.deliver(published(t, 4, ordersObjects(`{}`)...))
	is.Equal(f.state.ConfigVersion(), uint64(5)) // an older version is ignored
}

// TestFaultyVersionIsRefused checks that a version which can't be compiled or
// translated leaves the held one in force and is logged once.
func TestFaultyVersionIsRefused(t *testing.T) {
	faulty := ordersObjects(`{}`)[:1] // without the service
	faulty = append(faulty, config.Object{Kind: config.KindRoute, Name: "r", Spec: []byte(`{"pathPrefix":"/","service":"gone"}`)})
	for name, data := range map[string][]byte{
		"compile":   published(t, 5, faulty...),
		"translate": []byte(`{"version":5,"fault":"kind is not known"}`),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFollower(t)
			f.deliver(published(t, 3, ordersObjects(`{}`)...))
			f.deliver(data)
			f.deliver(data)
			is.Equal(f.state.ConfigVersion(), uint64(3))
			is.Equal(f.refused, 1)
			ready, _ := f.state.Ready()
			is.True(ready)
			f.deliver(published(t, 6, ordersObjects(`{}`)...))
			is.Equal(f.state.ConfigVersion(), uint64(6))
		})
	}
}

// TestSourceReadIsLogged checks that each whole configuration read from the platform is
// logged with the reason, also if it is not newer than the one held.
func TestSourceReadIsLogged(t *testing.T) {
	is := is.New(t)
	f := newFollower(t)
	f.deliver(published(t, 3, ordersObjects(`{}`)...))
	is.Equal(f.read, []string{"start true"})
	f.deliver(published(t, 3, ordersObjects(`{}`)...))
	is.Equal(f.read, []string{"start true", "unconfirmed false"})
}

func TestSourceIsListedAgainAfterError(t *testing.T) {
	for _, tt := range []struct {
		name  string
		err   core.StoreError
		waits bool
	}{{"history compacted", core.StoreCompacted, false}, {"call failed", core.StoreFailed, true}, {"throttled", core.StoreThrottled, true}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFollower(t)
			f.deliver(published(t, 3, ordersObjects(`{}`)...))
			f.answer(core.StoreDone{Err: tt.err})
			if tt.waits {
				is.Equal(f.pending, nil)
				f.advance(time.Second)
			}
			is.True(f.listPending())
			ready, _ := f.state.Ready()
			is.True(ready) // the held version stays in force
			f.deliver(published(t, 9, ordersObjects(`{}`)...))
			is.Equal(f.state.ConfigVersion(), uint64(9))
		})
	}
}
