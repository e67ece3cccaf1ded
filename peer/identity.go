package peer

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	grpcpeer "google.golang.org/grpc/peer"

	"github.com/agatekeel/agatekeel/security"
)

// Identity identifies the node at the other end of a link, independently of the
// messages it sends.
type Identity struct {
	Address string // IP address and port
	Node    string // node name in its certificate; empty without TLS
}

// remoteIdentity returns the Identity of the other end of a stream.
func remoteIdentity(ctx context.Context) Identity {
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return Identity{}
	}
	id := Identity{Address: p.Addr.String()}
	if info, ok := p.AuthInfo.(credentials.TLSInfo); ok {
		id.Node = security.PeerName(info.State)
	}
	return id
}

// NewCredentials returns the credentials for the accepting and the dialling
// end. onRefused is called for each connection that fails the handshake, with
// the address of the other end.
func NewCredentials(c *security.Credentials, onRefused func(address string, reason error)) (server, client credentials.TransportCredentials) {
	return reportingCredentials{TransportCredentials: credentials.NewTLS(c.Server(alpn)), onRefused: onRefused},
		reportingCredentials{TransportCredentials: credentials.NewTLS(c.Client(alpn)), onRefused: onRefused}
}

// alpn is the ALPN protocol ID of gRPC (HTTP/2).
const alpn = "h2"

// reportingCredentials reports handshakes that fail.
type reportingCredentials struct {
	credentials.TransportCredentials
	onRefused func(address string, reason error)
}

// ServerHandshake implements credentials.TransportCredentials.
func (r reportingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := r.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		r.onRefused(conn.RemoteAddr().String(), err)
	}
	return secured, info, err
}

// ClientHandshake implements credentials.TransportCredentials.
func (r reportingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := r.TransportCredentials.ClientHandshake(ctx, authority, conn)
	if err != nil {
		r.onRefused(conn.RemoteAddr().String(), err)
	}
	return secured, info, err
}

// Clone implements credentials.TransportCredentials.
func (r reportingCredentials) Clone() credentials.TransportCredentials {
	return reportingCredentials{TransportCredentials: r.TransportCredentials.Clone(), onRefused: r.onRefused}
}
