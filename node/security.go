package node

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/notice"
	"github.com/agatekeel/agatekeel/eventlog"
	"github.com/agatekeel/agatekeel/security"
	"github.com/agatekeel/agatekeel/settings"
)

// newCredentials returns nil if the settings name no TLS files.
func newCredentials(s settings.Settings, log *eventlog.Logger) (*security.Credentials, error) {
	if !s.TLS.Enabled() {
		return nil, nil
	}
	files := security.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, CA: s.TLS.CA}
	return security.Load(files, certificateLog{log})
}

// certificateLog logs each read of the TLS files.
type certificateLog struct{ log *eventlog.Logger }

// CertificatesRead implements security.Observer.
func (l certificateLog) CertificatesRead(certificate string, notAfter time.Time) {
	l.log.Write(notice.CertificatesRead,
		core.Attr{Key: "certificate", Value: certificate}, core.Attr{Key: "notAfter", Value: notAfter})
}

// CertificatesRefused implements security.Observer.
func (l certificateLog) CertificatesRefused(err error) {
	l.log.Write(notice.CertificatesRefused, core.Attr{Key: "reason", Value: err.Error()})
}

func logPeerRefused(log *eventlog.Logger, address, reason string) {
	log.Write(notice.PeerRefused, core.Attr{Key: "address", Value: address}, core.Attr{Key: "reason", Value: reason})
}

// hopDialer returns a TLS dialer for request connections to other nodes.
func hopDialer(c *security.Credentials) *tls.Dialer {
	return &tls.Dialer{NetDialer: &net.Dialer{Timeout: hopDialTimeout, KeepAlive: hopKeepAlive}, Config: c.Client()}
}

// Timeout and keep-alive interval of request connections between nodes.
const (
	hopDialTimeout = time.Second
	hopKeepAlive   = 15 * time.Second
)

// rejectMisnamed closes a link whose other end identifies itself as another node
// than its certificate names, and reports whether it did so.
func (n *Node) rejectMisnamed(id core.LinkID, m message.Message) bool {
	var claimed string
	switch m := m.(type) {
	case message.Hello:
		claimed = m.Node
	case message.Welcome:
		claimed = m.Node
	default:
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.openLinks[id]
	if !ok {
		return false
	}
	other := l.Remote()
	if other.Node == "" || other.Node == claimed {
		return false
	}
	logPeerRefused(n.log, other.Address, "certificate names node "+other.Node+", but the peer identified itself as node "+claimed)
	l.Close()
	return true
}
