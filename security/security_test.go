package security_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/security"
	"github.com/agatekeel/agatekeel/security/securitytest"
)

// recordingObserver records the calls of an Observer.
type recordingObserver struct {
	read    []string
	refused []error
}

func (o *recordingObserver) CertificatesRead(name string, _ time.Time) { o.read = append(o.read, name) }
func (o *recordingObserver) CertificatesRefused(err error)             { o.refused = append(o.refused, err) }

func load(t *testing.T, files security.Files) *security.Credentials {
	t.Helper()
	c, err := security.Load(files, &recordingObserver{})
	is.New(t).NoErr(err)
	return c
}

// handshake connects a client to a server. It returns the peer name that each end
// found in the other's certificate, and the error of each end.
func handshake(t *testing.T, server, client *tls.Config) (clientName, serverName string, serverErr, clientErr error) {
	t.Helper()
	a, b := connection(t)
	deadline := time.Now().Add(10 * time.Second)
	_, _ = a.SetDeadline(deadline), b.SetDeadline(deadline)
	s, c := tls.Server(a, server), tls.Client(b, client)
	done := make(chan error, 1)
	go func() {
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		_ = a.Close()
		done <- err
	}()
	clientErr = c.Handshake()
	if clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1)) // in TLS 1.3 the client sees a refusal only after its handshake
	}
	_ = b.Close()
	serverErr = <-done
	return security.PeerName(s.ConnectionState()), security.PeerName(c.ConnectionState()), serverErr, clientErr
}

// connection returns the two ends of a connection over loopback.
func connection(t *testing.T) (server, client net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	server, err = l.Accept()
	is.NoErr(err)
	return server, client
}

func TestHandshakes(t *testing.T) {
	ours, theirs := securitytest.New(t, "ours"), securitytest.New(t, "theirs")
	server := load(t, ours.Write(t.TempDir(), "a"))
	validClient := load(t, ours.Write(t.TempDir(), "b"))
	tests := []struct {
		name           string
		server, client *tls.Config
		refused        string // part of the error of either end; empty: the handshake succeeds
	}{
		{"right certificates", server.Server(), validClient.Client(), ""},
		{"client of another CA", server.Server(), clientTrusting(t, theirs, ours), "unknown authority"},
		{"client without a certificate", server.Server(), &tls.Config{InsecureSkipVerify: true}, "didn't provide a certificate"},
		{"server of another CA", load(t, theirs.Write(t.TempDir(), "a")).Server(), validClient.Client(), "unknown authority"},
		{"certificate for servers as client", server.Server(),
			load(t, ours.Write(t.TempDir(), "b", x509.ExtKeyUsageServerAuth)).Client(), "incompatible key usage"},
		{"certificate for clients as server",
			load(t, ours.Write(t.TempDir(), "a", x509.ExtKeyUsageClientAuth)).Server(), validClient.Client(), "incompatible key usage"},
		{"old protocol", server.Server(), &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, "protocol version"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clientName, serverName, serverErr, clientErr := handshake(t, tt.server, tt.client)
			if tt.refused == "" {
				is.NoErr(serverErr)
				is.NoErr(clientErr)
				is.Equal(clientName, "b")
				is.Equal(serverName, "a")
				return
			}
			is.True(serverErr != nil || clientErr != nil)
			text := errorText(serverErr) + errorText(clientErr)
			is.True(strings.Contains(text, tt.refused)) // the error gives the reason
		})
	}
}

// clientTrusting returns a client whose certificate is signed by one authority and
// which trusts servers of another.
func clientTrusting(t *testing.T, signer, trusted *securitytest.Authority) *tls.Config {
	files := signer.Write(t.TempDir(), "b")
	files.CA = trusted.Write(t.TempDir(), "b").CA
	return load(t, files).Client()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestChangedFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	dir, o := t.TempDir(), &recordingObserver{}
	old, next := securitytest.New(t, "old"), securitytest.New(t, "next")
	files := old.Write(dir, "a")
	c, err := security.Load(files, o)
	is.NoErr(err)
	client := load(t, next.Write(t.TempDir(), "b"))
	_, _, _, clientErr := handshake(t, c.Server(), client.Client())
	is.True(clientErr != nil) // the server's certificate is of another CA

	next.Write(dir, "a")
	advanceModTimes(t, files)
	_, _, serverErr, clientErr := handshake(t, c.Server(), client.Client())
	is.NoErr(serverErr)
	is.NoErr(clientErr) // the new files are used without a restart
	is.Equal(o.read, []string{"a", "a"})

	is.NoErr(os.WriteFile(files.Key, []byte("torn"), 0o600))
	advanceModTimes(t, files)
	_, _, serverErr, clientErr = handshake(t, c.Server(), client.Client())
	is.NoErr(serverErr)
	is.NoErr(clientErr) // the material loaded before stays in use
	is.Equal(len(o.refused), 1)
}

// advanceModTimes moves the modification times of the files forward, as a later
// write would.
func advanceModTimes(t *testing.T, files security.Files) {
	t.Helper()
	for _, f := range []string{files.Certificate, files.Key, files.CA} {
		info, err := os.Stat(f)
		is.New(t).NoErr(err)
		when := info.ModTime().Add(time.Minute)
		is.New(t).NoErr(os.Chtimes(f, when, when))
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	is := is.New(t)
	files := securitytest.New(t, "ca").Write(t.TempDir(), "a")
	is.NoErr(os.WriteFile(files.CA, []byte("no certificate"), 0o600))
	_, err := security.Load(files, &recordingObserver{})
	is.True(strings.Contains(err.Error(), files.CA+" holds no certificate"))
	is.NoErr(os.Remove(files.Key))
	_, err = security.Load(files, &recordingObserver{})
	is.True(strings.Contains(err.Error(), files.Key))
}
