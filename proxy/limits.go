package proxy

import (
	"time"

	"github.com/agatekeel/agatekeel/core/config"
)

// Defaults of Config.
const (
	DefaultMaxBodyBytes   = 64 << 20
	DefaultMaxDepth       = 16
	DefaultReadAheadBytes = 16 << 20
	DefaultSilenceAfter   = 500 * time.Millisecond
)

// Limits of a listener. A connection that the client side leaves idle is
// closed by the client side first, so that no request meets a closing one.
const (
	readHeaderTimeout = 10 * time.Second
	shortBodyTimeout  = 10 * time.Second
	stopTimeout       = 500 * time.Millisecond             // all that was to be answered has been by then; the rest has had its drain
	maxTransfer       = config.MaxTimeout + 10*time.Second // of one request or answer
	serverIdleTimeout = 180 * time.Second
	clientIdleTimeout = 60 * time.Second
	maxHeaderBytes    = 64 << 10 // of a caller's request
	maxHopHeaderBytes = maxHeaderBytes + 8<<10
)

// Limits of the client side.
const (
	dialTimeout   = time.Second
	keepAlive     = 15 * time.Second
	maxIdleToHost = 256
	maxIdle       = 1024 // connections to all hosts
	// hopGrace is the time after a call's deadline in which the receiving
	// node's own answer, which tells what became of the attempt, may come.
	hopGrace = 100 * time.Millisecond
	// queryTimeout bounds one question to another node about an attempt.
	queryTimeout = 500 * time.Millisecond
	// keptBodyBytes bounds the part of a request body that is kept so that
	// it can be sent again.
	keptBodyBytes = 64 << 10
	copyBufBytes  = 32 << 10
	// bufferedResponseBytes is what a server takes without waiting for the
	// receiver.
	bufferedResponseBytes = 2 << 10
)
