package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Sizes of the stored form of a set.
const (
	// targetChunkBytes is the size up to which one chunk is filled on average.
	targetChunkBytes = 32 << 10
	// MaxChunkBytes is the largest chunk that the platform takes.
	MaxChunkBytes = 1 << 20
)

// Manifest lists the chunks that hold a set. Objects are placed in chunks by
// the hash of their key, so a small change rewrites one chunk.
type Manifest struct {
	Version uint64   `json:"version"`
	Hash    uint64   `json:"hash"`
	Chunks  []string `json:"chunks"` // SHA-256 of each, in hex
}

// SourceSet is a whole set that is kept outside the publisher's own form.
type SourceSet struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects,omitempty"`
	Fault   string   `json:"fault,omitempty"` // why the objects can't be told; empty: they are all there
}

// Chunk is an encoded part of a set, named by the SHA-256 of its content.
type Chunk struct {
	Name string
	Data []byte
}

// Head points at the manifest in force. It is changed by conditional update
// alone, and so orders all versions.
type Head struct {
	Version  uint64             `json:"version"`
	Epoch    uint64             `json:"epoch"` // of the publisher's lease
	Hash     uint64             `json:"hash"`
	Manifest string             `json:"manifest"`
	Recent   []SubmissionResult `json:"recent,omitempty"` // newest last
	Sweep    uint64             `json:"sweep,omitempty"`  // one more with each collection of garbage
}

// SubmissionResult names a submission and what became of it: the version it was
// published as, or the faults for which it was rejected at that version.
// Rejections go through the head too, so that two publishers can't settle one
// submission in two ways.
type SubmissionResult struct {
	ID       string  `json:"id"`
	Version  uint64  `json:"version"`
	Rejected bool    `json:"rejected,omitempty"`
	Faults   []Fault `json:"faults,omitempty"`
}

// ResultOf returns what became of a submission, if the head tells.
func (h Head) ResultOf(id string) (SubmissionResult, bool) {
	for _, s := range h.Recent {
		if s.ID == id {
			return s, true
		}
	}
	return SubmissionResult{}, false
}

// ContentName returns the name of a chunk or manifest: its SHA-256 in hex.
func ContentName(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// DecodeSet puts a set together from its manifest and chunks (by name).
func DecodeSet(m Manifest, chunks map[string][]byte) (*Set, error) {
	s := NewSet(m.Version, nil)
	for _, name := range m.Chunks {
		objs, err := decodeChunk(m.Version, name, chunks)
		if err != nil {
			return nil, err
		}
		for _, o := range objs {
			s.put(o)
		}
	}
	if s.hash != m.Hash {
		return nil, fmt.Errorf("version %d: %w", m.Version, ErrHash)
	}
	return s, nil
}

func decodeChunk(version uint64, name string, chunks map[string][]byte) ([]Object, error) {
	data, ok := chunks[name]
	if !ok {
		return nil, fmt.Errorf("version %d: chunk %s is missing", version, name)
	}
	if ContentName(data) != name {
		return nil, fmt.Errorf("version %d: chunk %s: %w", version, name, ErrHash)
	}
	var objs []Object
	if err := json.Unmarshal(data, &objs); err != nil {
		return nil, fmt.Errorf("version %d: chunk %s: %w", version, name, err)
	}
	return objs, nil
}
