// Package operator is the client library for operators' tools: it submits
// edits, follows their status and reads the published objects, all through
// the platform.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/store"
)

// Errors of this package.
var (
	// ErrNoSubmission reports that no submission has the ID.
	ErrNoSubmission = fmt.Errorf("submission does not exist")
	// ErrUnknownOutcome reports that the platform did not answer; the
	// submission may have been stored. Submitting it again under the same ID
	// is safe.
	ErrUnknownOutcome = fmt.Errorf("it is not known whether the submission was stored")
	// ErrNotSubmitted reports that the submission was certainly not stored.
	ErrNotSubmitted = fmt.Errorf("the submission was not stored")
	// ErrInvalidID reports an ID that can't be part of a storage key.
	ErrInvalidID = fmt.Errorf("an ID must consist of 1 to 128 letters, digits, '.', '_' and '-'")
)

var validID = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// Client accesses the platform for one operator.
type Client struct{ store store.Store }

// New returns a Client.
func New(store store.Store) *Client { return &Client{store: store} }

// Limits of the attempts to store a submission.
const (
	maxSubmitAttempts = 6
	submitBackoff     = 100 * time.Millisecond // upper bound of the first random wait, doubled with each attempt
)

// Submit writes a submission to the platform. Submitting it again under the
// same ID has no further effect.
func (c *Client) Submit(ctx context.Context, sub config.Submission) error {
	data, err := encodeSubmission(sub)
	if err != nil {
		return err
	}
	absent, sent := false, false // absent: a read found no submission; sent: a write with unknown outcome was sent
	for attempt := range maxSubmitAttempts {
		if _, err = c.Status(ctx, sub.ID); err == nil {
			return nil // it exists: the answer to an earlier write was lost
		}
		if errors.Is(err, ErrNoSubmission) {
			absent = true
			_, err = c.store.Put(ctx, keyspace.Submissions+sub.ID, data, 0)
			if err == nil || errors.Is(err, store.ErrConflict) {
				return nil
			}
			sent = sent || !errors.Is(err, store.ErrThrottled)
		}
		sleep(ctx, rand.N(submitBackoff<<attempt))
		if ctx.Err() != nil {
			break
		}
	}
	if absent && !sent {
		return fmt.Errorf("submission %s: %w: %w", sub.ID, ErrNotSubmitted, err)
	}
	return fmt.Errorf("submission %s: %w: %w", sub.ID, ErrUnknownOutcome, err)
}

func encodeSubmission(sub config.Submission) ([]byte, error) {
	if !validID.MatchString(sub.ID) {
		return nil, fmt.Errorf("submission ID %q: %w", sub.ID, ErrInvalidID)
	}
	data, err := json.Marshal(sub)
	if err != nil {
		return nil, fmt.Errorf("encode submission %s: %w", sub.ID, err)
	}
	if len(data) > store.MaxValueBytes {
		return nil, fmt.Errorf("submission %s has %d bytes, at most %d are allowed; split it", sub.ID, len(data), store.MaxValueBytes)
	}
	return data, nil
}

// Status returns the progress of a submission.
func (c *Client) Status(ctx context.Context, id string) (status.Status, error) {
	// The submission is read first: it is removed only after its status was
	// written, so one of the two is always found.
	_, subErr := c.store.Get(ctx, keyspace.Submissions+id)
	o, err := c.store.Get(ctx, keyspace.Statuses+id)
	switch {
	case err == nil:
		var st status.Status
		if err := json.Unmarshal(o.Data, &st); err != nil {
			return status.Status{}, fmt.Errorf("status of %s can't be read: %w", id, err)
		}
		return st, nil
	case !errors.Is(err, store.ErrNotFound):
		return status.Status{}, fmt.Errorf("status of %s: %w", id, err)
	case subErr == nil:
		return status.Status{ID: id, Phase: status.Pending}, nil
	case errors.Is(subErr, store.ErrNotFound):
		return status.Status{}, fmt.Errorf("status of %s: %w", id, ErrNoSubmission)
	}
	return status.Status{}, fmt.Errorf("status of %s: %w", id, subErr)
}

// maxWatchWait bounds one watch of a status, and so the time between two reads of
// it. After an error Wait sleeps a tenth of that.
const maxWatchWait = 5 * time.Second

// Wait returns the status once it is InForce or Rejected, or the last
// status read and an error if ctx ends before.
func (c *Client) Wait(ctx context.Context, id string) (status.Status, error) {
	var last status.Status
	for {
		_, revision, listErr := c.store.List(ctx, keyspace.Statuses+id)
		st, err := c.Status(ctx, id)
		if err == nil {
			last = st
			if st.Phase == status.InForce || st.Phase == status.Rejected {
				return st, nil
			}
		}
		if ctx.Err() != nil {
			return last, fmt.Errorf("wait for %s: %w", id, ctx.Err())
		}
		if err == nil && listErr == nil {
			_, _, err = c.store.Watch(ctx, keyspace.Statuses+id, revision, maxWatchWait)
		}
		if err != nil || listErr != nil {
			sleep(ctx, maxWatchWait/10)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// maxReadAttempts bounds the attempts to read a set that is replaced, and
// its parts deleted, while it is being read.
const maxReadAttempts = 5

// Current returns the published set.
func (c *Client) Current(ctx context.Context) (*config.Set, error) {
	for attempt := 1; ; attempt++ {
		set, err := c.readCurrent(ctx)
		if !errors.Is(err, store.ErrNotFound) || attempt == maxReadAttempts {
			return set, err
		}
	}
}

func (c *Client) readCurrent(ctx context.Context) (*config.Set, error) {
	var h config.Head
	o, err := c.store.Get(ctx, keyspace.Head)
	if errors.Is(err, store.ErrNotFound) {
		return config.NewSet(0, nil), nil
	}
	if err != nil {
		return nil, fmt.Errorf("read head: %w", err)
	}
	if err := json.Unmarshal(o.Data, &h); err != nil {
		return nil, fmt.Errorf("read head: %w", err)
	}
	if h.Version == 0 {
		return config.NewSet(0, nil), nil
	}
	var m config.Manifest
	o, err = c.store.Get(ctx, keyspace.Manifests+h.Manifest)
	if err != nil {
		return nil, fmt.Errorf("read manifest of version %d: %w", h.Version, err)
	}
	if err := json.Unmarshal(o.Data, &m); err != nil {
		return nil, fmt.Errorf("read manifest of version %d: %w", h.Version, err)
	}
	chunks := map[string][]byte{}
	for _, name := range m.Chunks {
		o, err := c.store.Get(ctx, keyspace.Chunks+name)
		if err != nil {
			return nil, fmt.Errorf("read chunk of version %d: %w", h.Version, err)
		}
		chunks[name] = o.Data
	}
	return config.DecodeSet(m, chunks)
}

// Edit returns the submission that puts the given objects, each based on
// the version in current or on the version that it was read at.
func Edit(id, author string, current *config.Set, objects []config.Object) config.Submission {
	sub := config.Submission{ID: id, Author: author}
	for _, o := range objects {
		base := current.Objects[o.Key()].Version
		if o.Version != 0 {
			base = o.Version // the operator edited the object as read at this version
		}
		o.Version, o.Author = 0, ""
		sub.Puts = append(sub.Puts, config.Put{Object: o, Base: base})
	}
	return sub
}
