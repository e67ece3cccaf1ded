package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/store"
)

// publishChecker checks every write that took effect in the platform and
// keeps the first violation of an invariant.
type publishChecker struct {
	m           *coretest.Mesh
	after       uint64
	dirty       bool // the platform was called since the last readChanges
	onStore     func(*coretest.Node, core.Effect)
	head        config.Head
	model       *config.Set // the set that the head must refer to
	subs        map[string]config.Submission
	settled     map[string]config.SubmissionResult
	statuses    map[string]status.Status
	called      map[string]time.Time // by submission: when it was first made
	returned    map[string]time.Time // by submission: when its first status was written
	reads       []porcupine.Operation
	countedFrom map[string]time.Time // by node: time after a pause from which it is counted again
	err         error
}

func newPublishChecker(m *coretest.Mesh) *publishChecker {
	return &publishChecker{
		m: m, model: config.NewSet(0, nil), subs: map[string]config.Submission{}, settled: map[string]config.SubmissionResult{},
		statuses: map[string]status.Status{}, called: map[string]time.Time{}, returned: map[string]time.Time{}, countedFrom: map[string]time.Time{},
	}
}

func (c *publishChecker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s: %w", c.m.Now.Format("05.000"), fmt.Errorf(format, args...))
	}
}

// storeCalled is called for each platform call.
func (c *publishChecker) storeCalled(n *coretest.Node, e core.Effect) {
	c.dirty = true
	if c.onStore != nil {
		c.onStore(n, e)
	}
}

// readChanges checks the writes since its last call.
func (c *publishChecker) readChanges() {
	if !c.dirty {
		return
	}
	c.dirty = false
	changes, revision, err := c.m.Store.Watch(context.Background(), "", c.after, 0)
	if err != nil {
		c.fail("watch: %w", err)
		return
	}
	c.after = revision
	for _, ch := range changes {
		id, isStatus := strings.CutPrefix(ch.Key, "status/")
		sub, isSub := strings.CutPrefix(ch.Key, "submission/")
		switch {
		case isStatus && !ch.Deleted:
			c.statusWritten(id, ch.Object)
		case isSub && ch.Deleted:
			c.removed(sub)
		case isSub:
			c.submitted(sub, ch.Object)
		case ch.Key == "config/head":
			c.headWritten(ch.Object)
		case ch.Deleted && strings.HasPrefix(ch.Key, "config/"):
			c.readSet("after " + ch.Key + " was collected")
		}
	}
}

func (c *publishChecker) submitted(id string, o store.Object) {
	var sub config.Submission
	_ = json.Unmarshal(o.Data, &sub) // an unreadable one is treated as empty
	if _, known := c.subs[id]; !known {
		c.subs[id], c.called[id] = sub, c.m.Now
	}
}

func (c *publishChecker) removed(id string) {
	if _, ok := c.statuses[id]; !ok {
		c.fail("submission %s was removed before its status was written", id)
	}
}

func (c *publishChecker) headWritten(o store.Object) {
	var h config.Head
	if err := json.Unmarshal(o.Data, &h); err != nil {
		c.fail("head: %w", err)
		return
	}
	old := c.head
	c.head = h
	if h.Epoch < old.Epoch {
		c.fail("the head was written under epoch %d after epoch %d", h.Epoch, old.Epoch)
	}
	var fresh []config.SubmissionResult
	for _, s := range h.Recent {
		if before, ok := old.ResultOf(s.ID); !ok {
			fresh = append(fresh, s)
		} else if before.Version != s.Version || before.Rejected != s.Rejected {
			c.fail("submission %s was settled with two different results", s.ID)
		}
	}
	switch {
	case len(fresh) > 1:
		c.fail("one update of the head settled %d submissions", len(fresh))
	case len(fresh) == 1:
		c.settle(old, fresh[0])
	case h.Version != old.Version || h.Manifest != old.Manifest:
		c.fail("the head went from version %d to %d without a submission", old.Version, h.Version)
	}
}

// settle compares the result of a submission with that of the model.
func (c *publishChecker) settle(old config.Head, s config.SubmissionResult) {
	if _, twice := c.settled[s.ID]; twice {
		c.fail("submission %s was settled twice", s.ID)
	}
	c.settled[s.ID] = s
	next, accepted := applyToModel(c.model, c.subs[s.ID])
	if accepted == s.Rejected {
		c.fail("submission %s: rejected is %v, the model says %v", s.ID, s.Rejected, !accepted)
		return
	}
	if s.Rejected && (c.head.Version != old.Version || c.head.Manifest != old.Manifest) {
		c.fail("rejected submission %s changed the head", s.ID)
	}
	if s.Rejected {
		return
	}
	if s.Version != next.Version || c.head.Version != next.Version {
		c.fail("submission %s was settled at version %d, the head is at %d, the model at %d", s.ID, s.Version, c.head.Version, next.Version)
	}
	c.model = next
	if set := c.readSet("of submission " + s.ID); set != nil && set.Hash() != next.Hash() {
		c.fail("version %d differs from the submissions accepted so far", c.head.Version)
	}
}

// applyToModel is the sequential model: it returns the set after a
// submission and whether the submission is accepted.
func applyToModel(current *config.Set, sub config.Submission) (*config.Set, bool) {
	next, delta, faults := config.MergeDelta(current, sub)
	if len(faults) > 0 || sub.ID == "" {
		return current, false
	}
	if _, faults = config.Compile(next); len(faults) > 0 {
		return current, false
	}
	if delta.Empty() && current.Version > 0 {
		return current, true
	}
	return next, true
}

// readSet reads the set that the head refers to, which must always exist.
func (c *publishChecker) readSet(why string) *config.Set {
	if c.head.Version == 0 {
		return nil
	}
	ctx := context.Background()
	o, err := c.m.Store.Get(ctx, "config/manifest/"+c.head.Manifest)
	if err != nil {
		c.fail("manifest of version %d %s: %w", c.head.Version, why, err)
		return nil
	}
	var m config.Manifest
	_ = json.Unmarshal(o.Data, &m)
	chunks := map[string][]byte{}
	for _, name := range m.Chunks {
		o, err := c.m.Store.Get(ctx, "config/chunk/"+name)
		if err != nil {
			c.fail("chunk of version %d %s: %w", c.head.Version, why, err)
			return nil
		}
		chunks[name] = o.Data
	}
	set, err := config.DecodeSet(m, chunks)
	if err != nil {
		c.fail("set of version %d %s: %w", c.head.Version, why, err)
		return nil
	}
	return set
}

func (c *publishChecker) statusWritten(id string, o store.Object) {
	var st status.Status
	if err := json.Unmarshal(o.Data, &st); err != nil {
		c.fail("status of %s: %w", id, err)
		return
	}
	settled, ok := c.settled[id]
	switch {
	case !ok:
		c.fail("status of %s is %s before it was settled", id, st.Phase)
	case settled.Rejected != (st.Phase == status.Rejected) || settled.Version != st.Version:
		c.fail("status of %s is %s at version %d, settled was %+v", id, st.Phase, st.Version, settled)
	case c.statuses[id].Phase == status.InForce && st.Phase != status.InForce:
		c.fail("status of %s went back from InForce to %s", id, st.Phase)
	case st.Phase == status.Rejected && len(st.Faults) == 0:
		c.fail("submission %s was rejected without a reason", id)
	}
	if _, seen := c.returned[id]; !seen {
		c.returned[id] = c.m.Now
	}
	c.statuses[id] = st
	if st.Phase == status.InForce {
		c.inForce(id, st)
	}
}

// rejoinTime is how long it may take until a paused node is counted again.
const rejoinTime = 15 * time.Second

// pause stops a node for some time. While it is silent it counts as dead.
func (c *publishChecker) pause(name string, d time.Duration) {
	c.m.Pause(name, d)
	c.countedFrom[name] = c.m.Now.Add(d + rejoinTime)
}

// inForce checks that every live node that serves callers has applied a
// version.
func (c *publishChecker) inForce(id string, st status.Status) {
	for _, n := range c.m.Nodes() {
		if !n.Alive || c.m.Now.Before(c.countedFrom[n.Name]) {
			continue
		}
		if d := n.State.Dump(); d.Ready && d.ConfigVersion < st.Version {
			c.fail("%s is in force at version %d, but %s serves by version %d", id, st.Version, n.Name, d.ConfigVersion)
		}
	}
}

// read records that an operator reads the published set now.
func (c *publishChecker) read() {
	at := c.m.Now.UnixNano()
	c.reads = append(c.reads, porcupine.Operation{
		Input: publishInput{read: true}, Output: publishOutput{version: c.head.Version, hash: c.model.Hash()}, Call: at, Return: at + 1,
	})
}

// publishInput is a submission, or a read of the published set.
type publishInput struct {
	read bool
	sub  config.Submission
}

type publishOutput struct {
	version  uint64
	rejected bool
	hash     uint64 // only set for a read
}

var publishModel = porcupine.Model{
	Init: func() any { return config.NewSet(0, nil) },
	Step: func(state, input, output any) (bool, any) {
		set, in, out := state.(*config.Set), input.(publishInput), output.(publishOutput)
		if in.read {
			return out.version == set.Version && out.hash == set.Hash(), set
		}
		next, accepted := applyToModel(set, in.sub)
		return accepted != out.rejected && out.version == next.Version, next
	},
	Equal: func(a, b any) bool {
		x, y := a.(*config.Set), b.(*config.Set)
		return x.Version == y.Version && x.Hash() == y.Hash()
	},
}

// linearizable reports whether some sequential order of the submissions and
// reads explains every outcome, with each operation between its call and
// its return.
func (c *publishChecker) linearizable() bool {
	ops := c.reads
	for id, s := range c.settled {
		ret, ok := c.returned[id]
		if !ok {
			ret = c.m.Now
		}
		ops = append(ops, porcupine.Operation{
			Input: publishInput{sub: c.subs[id]}, Output: publishOutput{version: s.Version, rejected: s.Rejected},
			Call: c.called[id].UnixNano(), Return: ret.UnixNano(),
		})
	}
	for i := range ops {
		ops[i].ClientId = i
	}
	return porcupine.CheckOperations(publishModel, ops)
}

// settledAll reports whether every submission is removed and has its final
// status.
func (c *publishChecker) settledAll() bool {
	left, _, _ := c.m.Store.List(context.Background(), "submission/")
	if len(left) > 0 {
		return false
	}
	for id := range c.subs {
		if p := c.statuses[id].Phase; p != status.Rejected && p != status.InForce {
			return false
		}
	}
	return true
}
