// Package security provides mutual TLS between nodes. Keys and certificates come
// from PEM files, which are reloaded when they change.
//
// A node is identified by its certificate and not by its address, as hosts are
// replaced at any time. The client therefore checks that the server's certificate
// is signed by the CA and valid for servers, but not that it names the address.
// PeerName returns the name in the certificate, for comparison with the name that
// the node gives in its messages.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files of a node.
type Files struct{ Certificate, Key, CA string }

// Observer is called after each load of the files, and when changed files can't be
// loaded. It is called neither for errors of Load, which returns them, nor while a
// file is missing.
type Observer interface {
	// CertificatesRead is called with the common name and the end of the validity of
	// the node's certificate.
	CertificatesRead(certificate string, notAfter time.Time)
	// CertificatesRefused is called if changed files can't be loaded. The certificates
	// loaded before stay in use.
	CertificatesRefused(err error)
}

// Credentials holds the certificates that were last loaded from the files. Its
// methods may be called from any goroutine.
type Credentials struct {
	files    Files
	observer Observer

	mu          sync.Mutex // guards the fields below
	fingerprint fingerprint
	current     *material
}

// material is the content of the files at one time.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// fingerprint is the modification time and the size of each file. It is compared
// to find out whether the files have changed.
type fingerprint [3]struct {
	modified time.Time
	size     int64
}

// Load loads the files. Its error names the file at fault.
func Load(files Files, o Observer) (*Credentials, error) {
	c := &Credentials{files: files, observer: o}
	s, err := c.stat()
	if err != nil {
		return nil, err
	}
	m, err := c.readFiles()
	if err != nil {
		return nil, err
	}
	c.fingerprint = s
	c.setCurrent(m)
	return c, nil
}

func (c *Credentials) setCurrent(m *material) {
	c.current = m
	c.observer.CertificatesRead(m.certificate.Leaf.Subject.CommonName, m.certificate.Leaf.NotAfter)
}

// stat returns the fingerprint of the files.
func (c *Credentials) stat() (fingerprint, error) {
	var s fingerprint
	for i, file := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		info, err := os.Stat(file)
		if err != nil {
			return fingerprint{}, fmt.Errorf("TLS: %w", err)
		}
		s[i].modified, s[i].size = info.ModTime(), info.Size()
	}
	return s, nil
}

func (c *Credentials) readFiles() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return nil, fmt.Errorf("TLS certificate %s with key %s: %w", c.files.Certificate, c.files.Key, err)
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return nil, fmt.Errorf("TLS CA: %w", err)
	}
	m := &material{certificate: certificate, roots: x509.NewCertPool()}
	if !m.roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("TLS CA %s holds no certificate", c.files.CA)
	}
	return m, nil
}

// latest reloads the files if they have changed. If that fails, the material loaded
// last stays in use.
func (c *Credentials) latest() *material {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.stat()
	if err != nil || s == c.fingerprint {
		return c.current
	}
	c.fingerprint = s // set before loading, so that a failure is reported once per change of the files
	m, err := c.readFiles()
	if err != nil {
		c.observer.CertificatesRefused(err)
		return c.current
	}
	c.setCurrent(m)
	return m
}

// Server returns the TLS configuration of a listener. It requires a certificate that
// the CA has signed for clients. protocols are offered by ALPN.
func (c *Credentials) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.latest()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, NextProtos: protocols,
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert, ClientCAs: m.roots,
			}, nil
		},
	}
}

// Client returns the TLS configuration of a dialler. The chain of the server's
// certificate is verified against the latest CA. The server's name is not checked;
// see the package comment.
func (c *Credentials) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.latest().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead
		VerifyConnection:   c.verifyServer,
	}
}

func (c *Credentials) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("TLS: the server showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: c.latest().roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("TLS: the server's certificate: %w", err)
	}
	return nil
}

// PeerName returns the common name of the certificate that the other end of a
// connection presented, which is the name of its node. It is empty if there was no
// certificate.
func PeerName(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}
