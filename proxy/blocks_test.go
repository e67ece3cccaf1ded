package proxy

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// TestBlocksKeepBytesInOrder writes and reads a queue in parts of random sizes, and checks that it
// occupies as much as it says.
func TestBlocksKeepBytesInOrder(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		m := &bodyMemory{}
		q := blockQueue{memory: m}
		var in, out []byte
		size := 0
		for range 2000 {
			if random.IntN(2) == 0 {
				if len(q.space()) == 0 {
					n := blockBytes
					if random.IntN(4) == 0 {
						n = 1 + random.IntN(blockBytes)
					}
					q.grow(n)
					size += n
				}
				p := q.space()[:1+random.IntN(len(q.space()))]
				for i := range p {
					p[i] = byte(random.Uint32())
				}
				in = append(in, p...)
				q.written(len(p))
			} else {
				p := make([]byte, random.IntN(2*blockBytes))
				n, freed := q.read(p)
				out = append(out, p[:n]...)
				size -= freed
			}
			is.Equal(q.pending, len(in)-len(out))
			is.Equal(q.size, size)
			occupied := 0
			for _, b := range q.blocks {
				occupied += len(b)
			}
			is.Equal(q.size, occupied)
		}
		rest := make([]byte, q.pending)
		_, _ = q.read(rest)
		is.True(bytes.Equal(append(out, rest...), in))
		q.drop()
		is.Equal(q.size, 0)
		is.True(len(m.free) <= leastFreeBlocks) // nothing is reserved
	}
}

// smallReads returns one byte at a time, so that bodies are read in the smallest of parts.
type smallReads struct{ io.Reader }

func (r smallReads) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), 1)]) }

// TestReadAheadTakesMoreThanItsMemory lets many bodies be read ahead whose reader has stopped. Each
// has one block at least, and together they take no more than that and the memory.
func TestReadAheadTakesMoreThanItsMemory(t *testing.T) {
	const limit, bodies = 20 * blockBytes, 8
	is := is.New(t)
	m := &bodyMemory{limit: limit}
	var open []io.ReadCloser
	for range bodies {
		b := readAhead{memory: m}.read(io.NopCloser(bytes.NewReader(make([]byte, 100*blockBytes))), -1)
		_, err := b.Read(make([]byte, 1))
		is.NoErr(err)
		open = append(open, b)
	}
	most := int64(0)
	for range 1000 {
		most = max(most, m.reserved.Load())
	}
	is.True(most > limit/2) // it is used
	is.True(most <= limit-limit/leftShare+bodies*blockBytes)
	for _, b := range open {
		n, err := io.Copy(io.Discard, b)
		is.NoErr(err)
		is.Equal(n, int64(100*blockBytes-1))
		is.NoErr(b.Close())
	}
	is.Equal(m.reserved.Load(), int64(0))
	text := bytes.Repeat([]byte("0123456789"), 10_000)
	got, err := io.ReadAll(readAhead{memory: m}.read(io.NopCloser(smallReads{bytes.NewReader(text)}), -1))
	is.NoErr(err)
	is.True(bytes.Equal(got, text))
	is.Equal(m.reserved.Load(), int64(0))
}
