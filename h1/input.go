package h1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"sync"
)

const (
	// idleInputBytes is the size of the buffer of a connection that waits for a request.
	idleInputBytes = 1 << 10
	// freeInputBytes is the part of a connection's buffer that is not charged.
	freeInputBytes = 4 << 10
	parserBytes    = 4 << 10
)

// errShortHead reports a head that ends before net/http has found its end.
var errShortHead = fmt.Errorf("request header is not complete")

var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, parserBytes) }}

// input is the only reader of a connection. It holds what was read and not yet taken. For the time of
// one request a parser reads from it, which gives back what it has read and not used, so that no bytes
// are left in a reader that is not used any more.
type input struct {
	src      io.Reader
	reserve  func(n int) bool
	release  func(n int)
	buf      []byte
	from, to int // buf[from:to] was read from src and not taken
	charged  int // bytes

	parser  *bufio.Reader // reads the request at hand; nil: none
	inHead  bool          // the parser gets bytes of the head only
	headEnd int           // in buf; valid while inHead
}

func newInput(src io.Reader, reserve func(int) bool, release func(int)) *input {
	return &input{src: src, reserve: reserve, release: release, buf: make([]byte, idleInputBytes)}
}

func (in *input) pending() []byte { return in.buf[in.from:in.to] }

// Read implements io.Reader for the parser.
func (in *input) Read(p []byte) (int, error) {
	end := in.to
	if in.inHead {
		end = in.headEnd
	}
	switch {
	case in.from < end:
		n := copy(p, in.buf[in.from:end])
		in.from += n
		return n, nil
	case in.inHead:
		return 0, errShortHead
	}
	return in.src.Read(p)
}

// awaitByte waits until a byte is there.
func (in *input) awaitByte() error {
	if in.from < in.to {
		return nil
	}
	in.shrink()
	return in.fill(idleInputBytes)
}

// fill reads once from src, if less than most bytes are pending. It returns ErrOverloaded if there is
// no memory for them.
func (in *input) fill(most int) error {
	if in.to == len(in.buf) || in.from == in.to {
		in.compact()
	}
	if in.to == len(in.buf) && !in.grow(most) {
		return ErrOverloaded
	}
	n, err := in.src.Read(in.buf[in.to:])
	in.to += n
	if n > 0 {
		return nil // an error comes again
	}
	return err
}

func (in *input) compact() {
	in.to = copy(in.buf, in.pending())
	in.from = 0
}

// grow doubles the buffer, up to most bytes, and reports whether there was memory for it.
func (in *input) grow(most int) bool {
	size := max(min(2*len(in.buf), most), len(in.buf)+1)
	charge := max(size-freeInputBytes, 0) - in.charged
	if charge > 0 && !in.reserve(charge) {
		return false
	}
	in.charged += max(charge, 0)
	in.resize(size)
	return true
}

func (in *input) resize(size int) {
	buf := make([]byte, size)
	in.to = copy(buf, in.pending())
	in.from, in.buf = 0, buf
}

// shrink frees the memory of an empty buffer.
func (in *input) shrink() {
	if len(in.buf) > idleInputBytes {
		in.resize(idleInputBytes)
	}
	in.giveBack()
}

// giveBack gives back what is charged.
func (in *input) giveBack() {
	in.release(in.charged)
	in.charged = 0
}

// awaitHead waits for the end of the next head, and returns the head and the number of its lines. The
// head is valid until more is read from the connection.
func (in *input) awaitHead(most int) (head []byte, lines int, err error) {
	var scan headScan
	for {
		seen := in.pending()
		whole := scan.advance(seen)
		switch {
		case whole && scan.size <= most:
			return seen[:scan.size], scan.lines, nil
		case whole || len(seen) >= most:
			return nil, 0, ErrHeaderTooLarge
		}
		if err := in.fill(most); err != nil {
			return nil, 0, err
		}
	}
}

// headScan looks for the end of a head in bytes that arrive in parts.
type headScan struct {
	lines, size int // of the whole lines seen
	seen        int // bytes looked at
}

// advance looks at the bytes that are new, and reports whether the head is whole.
func (s *headScan) advance(b []byte) bool {
	for {
		i := bytes.IndexByte(b[s.seen:], '\n')
		if i < 0 {
			s.seen = len(b)
			return false
		}
		s.seen += i + 1
		line := b[s.size:s.seen]
		s.size = s.seen
		s.lines++
		if s.lines > 1 && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return true
		}
	}
}

// beginHead returns the parser for the next request. Until endHead, it gets the bytes of the head only.
func (in *input) beginHead(size int) *bufio.Reader {
	in.inHead, in.headEnd = true, in.from+size
	in.parser = parsers.Get().(*bufio.Reader)
	in.parser.Reset(in)
	return in.parser
}

func (in *input) endHead() { in.inHead = false }

// endRequest takes back what the parser has read and not used.
func (in *input) endRequest() {
	if in.parser == nil {
		return
	}
	rest, _ := in.parser.Peek(in.parser.Buffered())
	in.unread(rest)
	in.parser.Reset(nil)
	parsers.Put(in.parser)
	in.parser = nil
}

// unread puts bytes in front of those that are pending. They are not charged, as they are few.
func (in *input) unread(b []byte) {
	pending := in.pending()
	if len(b) <= in.from {
		in.from -= copy(in.buf[in.from-len(b):], b)
		return
	}
	buf := make([]byte, max(len(b)+len(pending), len(in.buf)))
	in.to = copy(buf, b)
	in.to += copy(buf[in.to:], pending)
	in.from, in.buf = 0, buf
}

// discard reads the connection to its end, or until its deadline.
func (in *input) discard() {
	in.endHead()
	in.from, in.to = 0, 0
	in.shrink()
	for {
		if _, err := in.src.Read(in.buf); err != nil {
			return
		}
	}
}
