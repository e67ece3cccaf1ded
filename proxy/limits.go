package proxy

import (
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// Defaults of Config.
const (
	DefaultMaxBodyBytes   = 64 << 20
	DefaultMaxDepth       = 16
	DefaultReadAheadBytes = 16 << 20
	DefaultSilenceAfter   = 500 * time.Millisecond
)

// Limits of a listener. clientIdleTimeout is below serverIdleTimeout, so that
// the client side closes an idle connection first and no request is sent on a
// connection that the server is closing.
const (
	readHeaderTimeout = 10 * time.Second
	shortBodyTimeout  = 10 * time.Second
	stopTimeout       = 500 * time.Millisecond             // requests had the drain to finish; only the last bytes of responses remain
	endCallsAfter     = stopTimeout - hopGrace             // the rest is for the answers that calls get in place of a response
	maxTransfer       = config.MaxTimeout + 10*time.Second // time to transfer one request or response
	serverIdleTimeout = 180 * time.Second
	clientIdleTimeout = 60 * time.Second
	maxHeaderBytes    = 64 << 10               // header of a caller's request
	maxHopHeaderBytes = maxHeaderBytes + 8<<10 // header of a request from another node, or of a response
)

// Limits of the client side.
const (
	dialTimeout   = time.Second
	keepAlive     = 15 * time.Second
	maxIdleToHost = 256
	// dialLateness is the time after dialTimeout from which a dial that failed says that
	// this process had no processor time: the other host may have answered meanwhile.
	dialLateness = 100 * time.Millisecond
	maxIdle      = 1024 // idle connections to all hosts together
	// hopGrace is the time after a call's deadline that is left for the
	// response of the receiving node, which reports the outcome of the attempt.
	hopGrace = 100 * time.Millisecond
	// queryTimeout limits one query to another node about an attempt.
	queryTimeout = 500 * time.Millisecond
	// lastQueryGrace is the time after a call's deadline until which the outcome of its last
	// attempt is asked for, and leastQueryTimeout the least time for that.
	lastQueryGrace    = 300 * time.Millisecond
	leastQueryTimeout = 100 * time.Millisecond
	// keptBodyBytes limits the part of a request body that is kept so that it
	// can be sent again.
	keptBodyBytes = 64 << 10
	copyBufBytes  = 32 << 10
	// blockBytes is the size of the parts in which bodies take memory.
	blockBytes = 32 << 10
	// largeResponseBytes is the size over which a response waits for the host's
	// network link.
	largeResponseBytes = uplink.LargeBytes
	// bufferedResponseBytes is the size of a response that a server buffers
	// without waiting for the receiver.
	bufferedResponseBytes = 2 << 10
)
