// Package security gives nodes TLS with certificates at both ends, from PEM
// files that are read again when they change.
//
// A node is known by its certificate, not by its address: hosts are replaced
// at any time. So the client checks that the server's certificate is signed
// by the CA and made for servers, and leaves the name in it to Name, which is
// held against what the node says of itself.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files names the PEM files of a node.
type Files struct{ Certificate, Key, CA string }

// Observer is told of each reading of the files.
type Observer interface {
	CertificatesRead(certificate string, notAfter time.Time)
	CertificatesRefused(err error)
}

// Credentials holds what was last read from the files. Its methods may be
// called from any goroutine.
type Credentials struct {
	files    Files
	observer Observer

	mu          sync.Mutex // guards all below
	fingerprint fingerprint
	current     *material
}

// material is one reading of the files.
type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// fingerprint tells whether the files have changed.
type fingerprint [3]struct {
	modified time.Time
	size     int64
}

// Load reads the files. Its error names the file.
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

// stat returns the stamp of the files.
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

// latest reads the files again if they have changed. What can't be read
// leaves the last reading in use.
func (c *Credentials) latest() *material {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, err := c.stat()
	if err != nil || s == c.fingerprint {
		return c.current
	}
	c.fingerprint = s // a reading that fails is told once, until the files change again
	m, err := c.readFiles()
	if err != nil {
		c.observer.CertificatesRefused(err)
		return c.current
	}
	c.setCurrent(m)
	return m
}

// Server returns the settings of a listener: it asks for a certificate that
// the CA has signed for clients. protocols are those offered by ALPN.
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

// Client returns the settings of a dialler. The chain of the server's
// certificate is checked here, by the newest CA; see the package for names.
func (c *Credentials) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.latest().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain
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

// PeerName returns the node named by the certificate that the other end of a
// connection showed, or empty.
func PeerName(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}
