// Package securitytest creates certificates for tests.
package securitytest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/agatekeel/agatekeel/security"
)

// Authority is a certificate authority that signs certificates for tests.
type Authority struct {
	t      testing.TB
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// validity is the time before and after their creation in which certificates are
// valid.
const validity = time.Hour

// New returns a new Authority with a key of its own. name is the common name of its
// certificate.
func New(t testing.TB, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, key: newKey(t)}
	template := a.template(name)
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	check(t, err)
	a.cert, err = x509.ParseCertificate(der)
	check(t, err)
	return a
}

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
	}
}

// Write writes a new certificate for a node, its key and the CA's certificate to a
// directory. usages are the extended key usages of the certificate, by default
// client and server authentication.
func (a *Authority) Write(dir, node string, usages ...x509.ExtKeyUsage) security.Files {
	a.t.Helper()
	if len(usages) == 0 {
		usages = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	}
	key := newKey(a.t)
	template := a.template(node)
	template.KeyUsage, template.ExtKeyUsage = x509.KeyUsageDigitalSignature, usages
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	check(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	check(a.t, err)
	files := security.Files{
		Certificate: filepath.Join(dir, "node.crt"), Key: filepath.Join(dir, "node.key"), CA: filepath.Join(dir, "ca.crt"),
	}
	writePEM(a.t, files.Certificate, "CERTIFICATE", der)
	writePEM(a.t, files.Key, "PRIVATE KEY", keyDER)
	writePEM(a.t, files.CA, "CERTIFICATE", a.cert.Raw)
	return files
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func writePEM(t testing.TB, file, kind string, der []byte) {
	check(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
