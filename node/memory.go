package node

import "github.com/agatekeel/agatekeel/settings"

// What follows from the limits on a host's memory and descriptors stands in this file.
//
// Memory: the process holds its program and its own state (fixedBytes), and the rest is for clients. Half
// of that rest is what clients may make the node hold, each part charged before it is taken; the other
// half is left for garbage that has not been collected yet, for a collector that gets little processor time.
const (
	// programBytes is for the pages of the program file and for memory that the runtime does not count.
	programBytes = 36 << 20
	// stateBytes is for the configuration, the table of backend servers, and buffers to the platform.
	stateBytes = 4 << 20

	fixedBytes = programBytes + stateBytes
	// leastShare is the divisor of the memory that gives what clients and the heap get at least, on a host
	// with hardly more than fixedBytes.
	leastShare = 4

	// Divisors of the memory for clients.
	requestDivisor = 4  // requests that are handled, and heads that have not ended
	bodyDivisor    = 8  // buffers of bodies
	connDivisor    = 24 // connections of callers, and as much for those of other nodes
	idleDivisor    = 64 // idle connections to other nodes, and as much for queries about attempts

	// connBytes is what a connection without a request takes: its buffer, its goroutine and what the
	// runtime holds of its socket.
	connBytes = 6 << 10
	// idleConnBytes is what an idle connection to another node takes: two goroutines and their buffers.
	idleConnBytes = 16 << 10
)

// Parts of the descriptors that callers' connections and callers' requests may take. The rest is for the
// platform, links, attempts of other nodes and the backend server.
const (
	callerDescriptorShare  = 0.6
	requestDescriptorShare = 0.2
	// fileDescriptors is how many are left for what is no connection.
	fileDescriptors = 200
)

// clientLimits are the limits on what clients may make a node hold. Zero: no limit.
type clientLimits struct {
	requestBytes int64
	bodyBytes    int64
	connections  int // of callers
	hopConns     int // of other nodes
	requests     int // of callers, at a time
	idleHops     int // idle connections to other nodes
	heapBytes    int64
}

// newClientLimits returns the limits of a host.
func newClientLimits(s settings.Settings) clientLimits {
	sockets := socketsOf(s.Descriptors)
	l := clientLimits{
		connections: int(callerDescriptorShare * sockets),
		requests:    int(requestDescriptorShare * sockets),
	}
	if s.MemoryBytes <= 0 {
		return l
	}
	clients := clientBytes(s.MemoryBytes)
	l.requestBytes, l.bodyBytes = clients/requestDivisor, clients/bodyDivisor
	l.hopConns = int(clients / connDivisor / connBytes)
	l.connections = least(l.connections, l.hopConns)
	l.idleHops = int(clients / idleDivisor / idleConnBytes)
	l.heapBytes = max(int64(s.MemoryBytes)-programBytes, int64(s.MemoryBytes)/leastShare)
	return l
}

// clientBytes returns the memory of a host that is left for clients.
func clientBytes(memory int) int64 {
	return max(int64(memory)-fixedBytes, int64(memory)/leastShare)
}

// least returns the smaller of two limits, of which the first may be zero for none.
func least(limit, other int) int {
	if limit == 0 {
		return other
	}
	return min(limit, other)
}

// socketsOf returns the number of connections that may be open with a number of descriptors.
func socketsOf(descriptors int) float64 {
	return float64(max(descriptors-fileDescriptors, descriptors/2))
}
