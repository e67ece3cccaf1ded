package coretest

import (
	"context"
	"errors"
	"slices"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/store"
)

type watch struct {
	node       *Node
	generation int
	effect     core.StoreWatch
	done       bool
}

// callStore executes a platform call of a node, subject to the injected faults.
func (m *Mesh) callStore(n *Node, gen int, effect core.Effect) {
	if m.OnStore != nil {
		m.OnStore(n, effect)
	}
	switch {
	case m.Faults.PlatformDown || m.storePartitioned[n.Name]:
		m.After(platformTimeout, func() { m.step(n, gen, failed(effect)) })
		return
	case m.Rand.Float64() < m.Faults.FailBefore:
		m.reply(n, gen, failed(effect))
		return
	}
	if w, ok := effect.(core.StoreWatch); ok {
		m.watch(&watch{node: n, generation: gen, effect: w})
		return
	}
	done := m.applyEffect(effect)
	if m.Rand.Float64() < m.Faults.LoseAnswer {
		done = failed(effect)
	}
	m.reply(n, gen, done)
	m.notifyWatches()
}

func (m *Mesh) reply(n *Node, gen int, done core.StoreDone) {
	m.After(m.random(m.Faults.PlatformDelay), func() { m.step(n, gen, done) })
}

func (m *Mesh) applyEffect(effect core.Effect) core.StoreDone {
	ctx := context.Background()
	switch e := effect.(type) {
	case core.StoreGet:
		o, err := m.Store.Get(ctx, e.Key)
		return result(core.StoreDone{Call: e.Call, Objects: objects(o)}, err)
	case core.StoreList:
		objs, rev, err := m.Store.List(ctx, e.Prefix)
		return result(core.StoreDone{Call: e.Call, Revision: rev, Objects: objects(objs...)}, err)
	case core.StorePut:
		v, err := m.Store.Put(ctx, e.Key, e.Data, e.Base)
		return result(core.StoreDone{Call: e.Call, Version: v}, err)
	case core.StoreDelete:
		return result(core.StoreDone{Call: e.Call}, m.Store.Delete(ctx, e.Key, e.Base))
	}
	panic("coretest: effect is not a platform call")
}

func (m *Mesh) watch(w *watch) {
	m.watches = append(m.watches, w)
	m.notifyWatches()
	m.After(w.effect.Wait, func() {
		m.notifyWatches() // otherwise the revision below would skip changes that a test wrote directly to the store
		if !w.done {
			w.done = true
			_, rev, _ := m.Store.List(context.Background(), w.effect.Prefix)
			m.reply(w.node, w.generation, core.StoreDone{Call: w.effect.Call, Revision: rev})
		}
	})
}

// notifyWatches answers every watch that has changes to return, and fails those for which the
// store returns an error.
func (m *Mesh) notifyWatches() {
	m.watches = slices.DeleteFunc(m.watches, func(w *watch) bool { return w.done })
	for _, w := range m.watches {
		changes, rev, err := m.Store.Watch(context.Background(), w.effect.Prefix, w.effect.After, 0)
		if err == nil && len(changes) == 0 {
			continue
		}
		w.done = true
		done := core.StoreDone{Call: w.effect.Call, Revision: rev}
		for _, c := range changes {
			o := objects(c.Object)[0]
			o.Deleted = c.Deleted
			done.Objects = append(done.Objects, o)
		}
		m.reply(w.node, w.generation, result(done, err))
	}
}

// CreateObject creates an object in the platform, as an operator's tool would.
func (m *Mesh) CreateObject(key string, data []byte) error {
	if _, err := m.Store.Put(context.Background(), key, data, 0); err != nil {
		return err
	}
	m.notifyWatches()
	return nil
}

// FailWatches fails all pending watches.
func (m *Mesh) FailWatches() {
	for _, w := range m.watches {
		if !w.done {
			w.done = true
			m.reply(w.node, w.generation, failed(w.effect))
		}
	}
	m.watches = nil
}

func objects(objs ...store.Object) []core.StoreObject {
	out := make([]core.StoreObject, 0, len(objs))
	for _, o := range objs {
		out = append(out, core.StoreObject{Key: o.Key, Version: o.Version, Created: o.Created, Data: o.Data})
	}
	return out
}

func failed(effect core.Effect) core.StoreDone {
	done := core.StoreDone{Err: core.StoreFailed, Detail: "no answer"}
	switch e := effect.(type) {
	case core.StoreGet:
		done.Call = e.Call
	case core.StoreList:
		done.Call = e.Call
	case core.StorePut:
		done.Call = e.Call
	case core.StoreDelete:
		done.Call = e.Call
	case core.StoreWatch:
		done.Call = e.Call
	}
	return done
}

func result(done core.StoreDone, err error) core.StoreDone {
	if err == nil {
		return done
	}
	done.Detail = err.Error()
	switch {
	case errors.Is(err, store.ErrNotFound):
		done.Err = core.StoreNotFound
	case errors.Is(err, store.ErrConflict):
		done.Err = core.StoreConflict
	case errors.Is(err, store.ErrTooLarge):
		done.Err = core.StoreTooLarge
	case errors.Is(err, store.ErrCompacted):
		done.Err = core.StoreCompacted
	case errors.Is(err, store.ErrThrottled):
		done.Err = core.StoreThrottled
	default:
		done.Err = core.StoreFailed
	}
	return done
}
