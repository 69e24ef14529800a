package certs_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"caroblane/io/certs"
)

// authority is a CA that signs certificates for a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, template := newKey(t), &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	template.Raw = der
	return authority{template, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue creates a certificate and writes it to c.pem, its key to k.pem and the
// CA certificate to a.pem.
func (a authority) issue(t *testing.T, dir, name string) {
	t.Helper()
	key, template := newKey(t), &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, dir, "c.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, dir, "k.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
	write(t, dir, "a.pem", a.pem)
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// write writes a file and gives it a unique modification time, so that a change
// is detected regardless of the time resolution of the file system.
func write(t *testing.T, dir, name string, data []byte) {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	at := time.Unix(modified.Add(1), 0)
	if err := os.Chtimes(path, at, at); err != nil {
		t.Fatal(err)
	}
}

var modified atomic.Int64

// clock is a fake clock that the test advances.
type clock struct{ seconds atomic.Int64 }

func (c *clock) now() time.Time { return time.Unix(c.seconds.Load(), 0) }

// echo runs a TLS echo server until the test ends and returns its address.
func echo(t *testing.T, config *tls.Config) string {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				line, _ := bufio.NewReader(conn).ReadString('\n')
				_, _ = conn.Write([]byte(line))
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func served(t *testing.T, conn net.Conn) bool {
	t.Helper()
	_, _ = conn.Write([]byte("ping\n"))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "ping\n"
}

// TestReload guards against a new certificate that is used only after a
// restart, a reload that closes open connections, and partially written files
// that replace the previous certificate.
func TestReload(t *testing.T) {
	dir, ca, at := t.TempDir(), newAuthority(t), &clock{}
	ca.issue(t, dir, "first")
	caller, err := certs.NewCallerTLS(filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"), at.now)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca.pem)
	address := echo(t, caller.Config())
	dial := func() (*tls.Conn, string) {
		conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool})
		if err != nil {
			t.Fatal(err)
		}
		return conn, conn.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	open, name := dial()
	if name != "first" {
		t.Fatalf("certificate of %s", name)
	}
	ca.issue(t, dir, "second")
	if _, name := dial(); name != "first" {
		t.Errorf("certificate of %s within a second of the last check", name)
	}
	at.seconds.Add(1)
	if _, name := dial(); name != "second" {
		t.Errorf("certificate of %s after the check", name)
	}
	if !served(t, open) {
		t.Error("the reload closed an open connection")
	}
	write(t, dir, "c.pem", []byte("half"))
	at.seconds.Add(1)
	if _, name := dial(); name != "second" || !strings.Contains(caller.ReloadError(), "c.pem") {
		t.Errorf("certificate of %s, reload error %q with a broken file", name, caller.ReloadError())
	}
	ca.issue(t, dir, "third")
	at.seconds.Add(1)
	if _, name := dial(); name != "third" || caller.ReloadError() != "" {
		t.Errorf("certificate of %s, reload error %q after the repair", name, caller.ReloadError())
	}
}

// TestPeerTLS guards against connections with a peer whose certificate is not
// from the CA, in either direction, and against an old CA that is trusted after
// its file was replaced.
func TestPeerTLS(t *testing.T) {
	ca, at := newAuthority(t), &clock{}
	newPeer := func(signer authority) (*certs.PeerTLS, string) {
		dir := t.TempDir()
		signer.issue(t, dir, "node")
		p, err := certs.NewPeerTLS(filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"), filepath.Join(dir, "a.pem"), at.now)
		if err != nil {
			t.Fatal(err)
		}
		return p, dir
	}
	server, dir := newPeer(ca)
	friend, _ := newPeer(ca)
	stranger, _ := newPeer(newAuthority(t))
	address := echo(t, server.Config())
	accepted := func(p *certs.PeerTLS) bool {
		conn, err := p.Dial(context.Background(), "tcp", address)
		return err == nil && served(t, conn)
	}
	if !accepted(friend) {
		t.Error("a peer with a certificate from the same CA is rejected")
	}
	if accepted(stranger) {
		t.Error("a server with a certificate from another CA is accepted")
	}
	plain, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	if err == nil && served(t, plain) {
		t.Error("a client without a certificate is accepted")
	}
	newAuthority(t).issue(t, dir, "node")
	at.seconds.Add(1)
	if accepted(friend) {
		t.Error("the old CA is still accepted")
	}
}

// TestUnusableFiles guards against a node that starts with missing or invalid
// files and then fails every handshake.
func TestUnusableFiles(t *testing.T) {
	dir, at := t.TempDir(), &clock{}
	newAuthority(t).issue(t, dir, "node")
	c, k, a := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"), filepath.Join(dir, "a.pem")
	if _, err := certs.NewCallerTLS(c, a, at.now); err == nil {
		t.Error("a certificate is accepted as a key")
	}
	if _, err := certs.NewPeerTLS(c, k, k, at.now); err == nil || !strings.Contains(err.Error(), "contains no certificate") {
		t.Errorf("a key as authority: %v", err)
	}
	if _, err := certs.NewPeerTLS(c, k, filepath.Join(dir, "none.pem"), at.now); err == nil {
		t.Error("a missing CA file is accepted")
	}
}
