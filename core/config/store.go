package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Sizes of the stored form of a set, in bytes.
const (
	// targetChunkBytes is the maximum average size of chunks. The number of chunks is
	// chosen accordingly.
	targetChunkBytes = 32 << 10
	// MaxChunkBytes is the maximum size of a chunk, limited by the platform.
	MaxChunkBytes = 1 << 20
)

// Manifest lists the chunks that contain a set. The hash of an object's key selects
// its chunk, so a small change rewrites few chunks.
type Manifest struct {
	Version uint64   `json:"version"`
	Hash    uint64   `json:"hash"`
	Chunks  []string `json:"chunks"` // SHA-256 of each chunk, in hex
}

// SourceText is a configuration from a source of which only the version has been read.
type SourceText struct {
	Version uint64
	Read    func() SourceSet // reads the rest
}

// SourceSet is a complete set from a configuration source outside of the publisher's
// chunks.
type SourceSet struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects,omitempty"`
	Fault   string   `json:"fault,omitempty"` // reason why the objects could not be read; empty: Objects is complete
}

// Chunk is an encoded part of a set. Its name is the SHA-256 of its content.
type Chunk struct {
	Name string
	Data []byte
}

// Head refers to the manifest in force. It is written by conditional updates only,
// which gives all versions a total order.
type Head struct {
	Version  uint64             `json:"version"`
	Epoch    uint64             `json:"epoch"` // of the lease under which the publisher wrote it
	Hash     uint64             `json:"hash"`
	Manifest string             `json:"manifest"`
	Recent   []SubmissionResult `json:"recent,omitempty"` // newest last
	Sweep    uint64             `json:"sweep,omitempty"`  // number of garbage collections so far
}

// SubmissionResult is the result of a submission: the version that published it, or
// the version at which it was rejected and the faults. Rejections are recorded in the
// head too, so that two publishers can't give one submission different results.
type SubmissionResult struct {
	ID       string  `json:"id"`
	Version  uint64  `json:"version"`
	Rejected bool    `json:"rejected,omitempty"`
	Faults   []Fault `json:"faults,omitempty"`
}

// ResultOf returns the result of a submission if it is among the recent ones.
func (h Head) ResultOf(id string) (SubmissionResult, bool) {
	for _, s := range h.Recent {
		if s.ID == id {
			return s, true
		}
	}
	return SubmissionResult{}, false
}

// ContentName returns the name of a chunk or manifest: the SHA-256 of its content, in
// hex.
func ContentName(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// DecodeSet decodes a set from its manifest and its chunks, which are given by name.
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
