package node

import (
	"errors"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/store"
)

// callStore makes one platform call and passes its result to the reducer. The
// result is discarded once the node is stopping.
func (n *Node) callStore(effect core.Effect) {
	done, err := n.storeRequest(effect)
	if n.ctx.Err() != nil {
		return
	}
	if err != nil {
		done.Err, done.Detail = storeError(err), err.Error()
	}
	n.Step(done)
}

func (n *Node) storeRequest(effect core.Effect) (core.StoreDone, error) {
	switch e := effect.(type) {
	case core.StoreGet:
		o, err := n.store.Get(n.ctx, e.Key)
		return core.StoreDone{Call: e.Call, Objects: []core.StoreObject{n.storeObject(o, false)}}, err
	case core.StoreList:
		objs, rev, err := n.store.List(n.ctx, e.Prefix)
		done := core.StoreDone{Call: e.Call, Revision: rev}
		for _, o := range objs {
			done.Objects = append(done.Objects, n.storeObject(o, false))
		}
		return done, err
	case core.StorePut:
		v, err := n.store.Put(n.ctx, e.Key, e.Data, e.Base)
		return core.StoreDone{Call: e.Call, Version: v}, err
	case core.StoreDelete:
		return core.StoreDone{Call: e.Call}, n.store.Delete(n.ctx, e.Key, e.Base)
	case core.StoreWatch:
		changes, rev, err := n.store.Watch(n.ctx, e.Prefix, e.After, e.Wait)
		done := core.StoreDone{Call: e.Call, Revision: rev}
		for _, c := range changes {
			done.Objects = append(done.Objects, n.storeObject(c.Object, c.Deleted))
		}
		return done, err
	}
	panic("node: effect of unknown type")
}

func (n *Node) storeObject(o store.Object, deleted bool) core.StoreObject {
	return core.StoreObject{Key: o.Key, Version: o.Version, Created: o.Created, Data: o.Data, Source: n.sourceSet(o.Source), Deleted: deleted}
}

// sourceSet decodes a configuration if it is newer than the one in force. Of any other
// only the version is needed, and decoding it all costs as much CPU time as many requests.
func (n *Node) sourceSet(text *config.SourceText) *config.SourceSet {
	if text == nil {
		return nil
	}
	if text.Version <= n.ConfigVersion() {
		return &config.SourceSet{Version: text.Version}
	}
	set := text.Read()
	return &set
}

// storeError maps an error of the Store to the reducer's error code.
func storeError(err error) core.StoreError {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return core.StoreNotFound
	case errors.Is(err, store.ErrConflict):
		return core.StoreConflict
	case errors.Is(err, store.ErrTooLarge):
		return core.StoreTooLarge
	case errors.Is(err, store.ErrThrottled):
		return core.StoreThrottled
	case errors.Is(err, store.ErrCompacted):
		return core.StoreCompacted
	}
	return core.StoreFailed
}
